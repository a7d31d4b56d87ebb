//! What an operator sees of a node.

use corianderway_model::InstanceId;
use serde::Serialize;

use crate::node::Node;

/// The view of one entry instance.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it can serve.
    pub ready: bool,
    /// Requests that are open.
    pub open: usize,
    /// Contracts in force.
    pub contracts: usize,
    /// Keys known.
    pub keys: usize,
    /// Other entry instances known.
    pub peers: Vec<InstanceId>,
    /// Backend servers and their states.
    pub servers: Vec<ServerStatus>,
}

/// The view of one backend server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// The backend server.
    pub server: String,
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// The region.
    pub region: String,
    /// The state.
    pub state: &'static str,
    /// Requests of this instance in flight.
    pub running: u32,
}

impl Node {
    /// What an operator sees.
    pub fn status(&self) -> Status {
        let mut servers: Vec<_> = self
            .fleet
            .servers()
            .map(|(_, server)| ServerStatus {
                server: server.id().to_string(),
                service: server.service().to_string(),
                version: server.version().to_string(),
                region: server.region().to_string(),
                state: server.state().as_str(),
                running: server.in_flight(),
            })
            .collect();
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        Status {
            instance: self.me.id.clone(),
            ready: self.is_ready(),
            open: self.requests.len(),
            contracts: self.contracts.all().len(),
            keys: self.keys.len(),
            peers: self.control.live().to_vec(),
            servers,
        }
    }
}
