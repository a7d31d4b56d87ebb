//! Changes to a running fleet.

use corianderway_model::Presence;
use snafu::ResultExt;

use crate::fleet::error::ContractSnafu;
use crate::fleet::error::Error;
use crate::fleet::keys;
use crate::fleet::run::Fleet;
use crate::fleet::run::STOP_TIMEOUT;

impl Fleet {
    /// Withdraws every key that was granted to a client account.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    pub fn withdraw_keys(&self, account: &str) -> Result<(), Error> {
        let mut account_keys = self.keys.iter().filter(|k| k.account.as_str() == account);
        account_keys.try_for_each(|k| keys::withdraw(&self.platform, k))
    }

    /// Starts `count` backend servers of another version of a service, in the
    /// regions and failure domains of its first ones, and returns their ids.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid or a backend server doesn't become ready.
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
        for base in service.endpoints.iter().take(count) {
            let id = format!("{}-{version}", base.id);
            let mut endpoint = base.clone();
            endpoint.id = id.as_str().try_into().context(ContractSnafu)?;
            self.add_server(&service, &endpoint)?;
            ids.push(id);
        }
        Ok(ids)
    }

    /// Shuts down an entry instance gracefully and removes it from the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't stop in time.
    pub fn stop_entry(&mut self, at: usize) -> Result<(), Error> {
        let mut node = self.nodes.remove(at);
        node.entry.presence = Presence::Leaving;
        self.platform.register_entry(&node.entry)?;
        node.daemon.process.terminate()?;
        node.daemon.process.wait(STOP_TIMEOUT)?;
        self.platform.remove_entry(node.entry.id.as_str())?;
        Ok(())
    }
}
