//! The contracts in force, found by host.

use std::sync::Arc;

use corianderway_model::Account;
use corianderway_model::Contract;

/// The contracts in force.
#[derive(Debug, Default)]
pub(crate) struct Contracts {
    // Sorted by client account.
    all: Vec<Arc<Contract>>,
    // Sorted by host. If several contracts name a host, the first client account gets
    // it.
    hosts: Vec<(Arc<str>, Arc<Contract>)>,
}

impl Contracts {
    /// Puts a contract in force, replacing the previous one of its client account.
    pub(crate) fn put(&mut self, contract: Contract) {
        let contract = Arc::new(contract);
        match self.find(&contract.account) {
            Ok(at) => self.all[at] = contract,
            Err(at) => self.all.insert(at, contract),
        }
        self.index();
    }

    /// Removes the contract of a client account.
    pub(crate) fn remove(&mut self, account: &Account) {
        if let Ok(at) = self.find(account) {
            self.all.remove(at);
            self.index();
        }
    }

    /// Returns the contract that names a host.
    pub(crate) fn by_host(&self, host: &str) -> Option<&Arc<Contract>> {
        let at = self.hosts.binary_search_by(|row| (*row.0).cmp(host)).ok()?;
        Some(&self.hosts[at].1)
    }

    /// Returns all contracts in force, sorted by client account.
    pub(crate) fn all(&self) -> &[Arc<Contract>] {
        &self.all
    }

    fn find(&self, account: &Account) -> Result<usize, usize> {
        self.all.binary_search_by(|c| c.account.cmp(account))
    }

    fn index(&mut self) {
        let hosts = self.all.iter().flat_map(|contract| {
            let hosts = contract.hosts.iter();
            hosts.map(move |host| (Arc::clone(host), Arc::clone(contract)))
        });
        self.hosts = hosts.collect();
        // The sort is stable, so the first client account stays first.
        self.hosts.sort_by(|a, b| a.0.cmp(&b.0));
        self.hosts.dedup_by(|later, first| later.0 == first.0);
    }
}
