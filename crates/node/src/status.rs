//! The status of a node, as shown to operators.

use corianderway_control::Event as ControlEvent;
use corianderway_control::Id;
use corianderway_control::InForce;
use corianderway_control::Object;
use corianderway_model::InstanceId;
use corianderway_model::Time;
use serde::Serialize;

use crate::event::Action;
use crate::node::Node;

/// The status of one entry instance.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it can serve requests.
    pub ready: bool,
    /// The number of open requests.
    pub open: usize,
    /// The number of contracts in force.
    pub contracts: usize,
    /// The number of keys.
    pub keys: usize,
    /// The other live entry instances.
    pub peers: Vec<InstanceId>,
    /// The standing of the quota: empty, waiting, held, stale or surrendered.
    pub quota: String,
    /// The epoch of the limits; 0 if none is known.
    pub epoch: u64,
    /// The version moves.
    pub moves: Vec<MoveStatus>,
    /// The drains.
    pub drains: Vec<DrainStatus>,
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
}

/// The status of one version move.
#[derive(Clone, Debug, Serialize)]
pub struct MoveStatus {
    /// The service.
    pub service: String,
    /// The target version.
    pub to: String,
    /// The state of the move.
    pub state: String,
    /// The fraction of requests that this instance sends to the target.
    pub share: f64,
    /// Whether this instance has stopped sending requests to the target, independently
    /// of the state of the move.
    pub stopped: bool,
}

/// The status of one drain.
#[derive(Clone, Debug, Serialize)]
pub struct DrainStatus {
    /// The scope of the drain.
    pub scope: String,
    /// The state of the drain.
    pub state: String,
    /// The number of requests in flight within the scope, on all instances.
    pub busy: u64,
}

/// The status of one backend server.
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
    /// The number of this instance's requests in flight.
    pub running: u32,
}

/// Whether a version of a configuration object is in force on every entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForceStatus {
    /// Whether every entry instance has this version or a later one.
    pub in_force: bool,
    /// The entry instances that have not confirmed it.
    pub waiting: Vec<InstanceId>,
}

impl Node {
    /// Returns whether a version of an object is in force on every instance. Starts to
    /// query the other instances if that is not tracked yet.
    pub fn in_force_status(
        &mut self,
        now: Time,
        id: &Id,
        version: u64,
        out: &mut Vec<Action>,
    ) -> InForceStatus {
        let held = self.control.config().get(id).map(Object::stamp);
        let Some(stamp) = held.filter(|stamp| stamp.rank.version >= version) else {
            let waiting = vec![self.me.id.clone()];
            return InForceStatus {
                in_force: false,
                waiting,
            };
        };
        let mut reach = self.control.in_force(&stamp);
        if reach == InForce::NotFollowed {
            self.step_control(now, ControlEvent::Follow(stamp.clone()), out);
            reach = self.control.in_force(&stamp);
        }
        match reach {
            InForce::Everywhere => InForceStatus {
                in_force: true,
                waiting: Vec::new(),
            },
            InForce::Waiting(waiting) => InForceStatus {
                in_force: false,
                waiting,
            },
            InForce::NotFollowed => InForceStatus {
                in_force: false,
                waiting: Vec::new(),
            },
        }
    }

    /// Returns the status for operators.
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
