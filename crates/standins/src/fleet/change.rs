//! Changing a fleet while it runs.

use corianderway_model::Presence;
use snafu::ResultExt;

use crate::fleet::error::ContractSnafu;
use crate::fleet::error::Error;
use crate::fleet::keys;
use crate::fleet::run::Fleet;
use crate::fleet::run::STOP;

impl Fleet {
    /// Withdraws every key that was granted to a client account.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out.
    pub fn withdraw(&self, account: &str) -> Result<(), Error> {
        let mut mine = self.keys.iter().filter(|k| k.account.as_str() == account);
        mine.try_for_each(|k| keys::withdraw(&self.platform, k))
    }

    /// Starts backend servers of another version in the places of the first
    /// ones of a service, and gives their ids.
    ///
    /// # Errors
    ///
    /// Fails when a name can't be used or one does not get ready.
    pub fn add_version(
        &mut self,
        service: &str,
        version: &str,
        count: usize,
    ) -> Result<Vec<String>, Error> {
        let found = self.services.iter().find(|s| s.name.as_str() == service);
        let Some(mut service) = found.cloned() else {
            return Ok(Vec::new());
        };
        service.version = version.try_into().context(ContractSnafu)?;
        let mut ids = Vec::new();
        for place in service.endpoints.iter().take(count) {
            let id = format!("{}-{version}", place.id);
            let mut endpoint = place.clone();
            endpoint.id = id.as_str().try_into().context(ContractSnafu)?;
            self.add_server(&service, &endpoint)?;
            ids.push(id);
        }
        Ok(ids)
    }

    /// Stops an entry instance as planned, and takes it off the instance list.
    ///
    /// # Errors
    ///
    /// Fails when it does not stop in time.
    pub fn stop_entry(&mut self, at: usize) -> Result<(), Error> {
        let mut node = self.nodes.remove(at);
        node.entry.presence = Presence::Leaving;
        self.platform.register_entry(&node.entry)?;
        node.daemon.process.terminate()?;
        node.daemon.process.wait(STOP)?;
        self.platform.forget_entry(node.entry.id.as_str())?;
        Ok(())
    }
}
