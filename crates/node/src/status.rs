//! What an operator sees of a node.

use corianderway_control::Event as ControlEvent;
use corianderway_control::Id;
use corianderway_control::InForce;
use corianderway_control::Object;
use corianderway_model::InstanceId;
use corianderway_model::Time;
use serde::Serialize;

use crate::event::Action;
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
    /// Whether the limits may be used: empty, waiting, held, stale or surrendered.
    pub quota: String,
    /// The number of the epoch of the limits; 0 if none is known.
    pub epoch: u64,
    /// The version moves that are known.
    pub moves: Vec<MoveStatus>,
    /// The drains that are known.
    pub drains: Vec<DrainStatus>,
    /// Backend servers and their states.
    pub servers: Vec<ServerStatus>,
}

/// The view of one version move.
#[derive(Clone, Debug, Serialize)]
pub struct MoveStatus {
    /// The service.
    pub service: String,
    /// The new version.
    pub to: String,
    /// Where the move stands.
    pub state: String,
    /// The part of requests that this instance gives to the new version.
    pub share: f64,
    /// Whether this instance has stopped it by itself.
    pub stopped: bool,
}

/// The view of one drain.
#[derive(Clone, Debug, Serialize)]
pub struct DrainStatus {
    /// What is drained.
    pub scope: String,
    /// Where the drain stands.
    pub state: String,
    /// Requests in flight there, on all instances.
    pub busy: u64,
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

/// Where a version of a configuration object is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Reach {
    /// Whether every entry instance holds this version or a later one.
    pub in_force: bool,
    /// The entry instances that have not said so.
    pub waiting: Vec<InstanceId>,
}

impl Node {
    /// Says where a version of an object is in force, and begins to ask the
    /// other instances if it is not known yet.
    pub fn reach(&mut self, now: Time, id: &Id, version: u64, out: &mut Vec<Action>) -> Reach {
        let held = self.control.config().get(id).map(Object::stamp);
        let Some(stamp) = held.filter(|stamp| stamp.rank.version >= version) else {
            let waiting = vec![self.me.id.clone()];
            return Reach {
                in_force: false,
                waiting,
            };
        };
        let mut reach = self.control.in_force(&stamp);
        if reach == InForce::NotFollowed {
            self.control(now, ControlEvent::Follow(stamp.clone()), out);
            reach = self.control.in_force(&stamp);
        }
        match reach {
            InForce::Everywhere => Reach {
                in_force: true,
                waiting: Vec::new(),
            },
            InForce::Waiting(waiting) => Reach {
                in_force: false,
                waiting,
            },
            InForce::NotFollowed => Reach {
                in_force: false,
                waiting: Vec::new(),
            },
        }
    }

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
            peers: self.control.reachable().to_vec(),
            quota: format!("{:?}", self.quota.floor_status()).to_lowercase(),
            epoch: self.quota.epoch(),
            moves: self.move_statuses(),
            drains: self.drain_statuses(),
            servers,
        }
    }

    fn move_statuses(&self) -> Vec<MoveStatus> {
        let services = self.rollout.services();
        let points = services.filter_map(|service| self.rollout.snapshot(service));
        points
            .map(|point| MoveStatus {
                service: point.record.value.service.to_string(),
                to: point.record.value.to.to_string(),
                state: format!("{:?}", point.record.value.state).to_lowercase(),
                share: point.share.ratio(),
                stopped: point.stop.is_some(),
            })
            .collect()
    }

    fn drain_statuses(&self) -> Vec<DrainStatus> {
        let records = self.drains.records();
        records
            .map(|drain| DrainStatus {
                scope: drain.scope.to_string(),
                state: format!("{:?}", drain.state).to_lowercase(),
                busy: self.drains.busy(&drain.scope),
            })
            .collect()
    }
}
