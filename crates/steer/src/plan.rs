//! One version of what the operator configured.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Access;
use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Region;
use corianderway_model::Replay;
use corianderway_model::RouteName;
use corianderway_model::Secret;
use corianderway_model::Service;
use corianderway_model::Sorted;
use snafu::ensure;
use snafu::Snafu;

/// A version of the configuration that can't be used.
#[derive(Debug, Snafu)]
pub enum PlanError {
    /// A path prefix is not delimited by slashes.
    #[snafu(display("route {route}: prefix {prefix:?} must begin and end with a slash"))]
    Prefix {
        /// The route.
        route: RouteName,
        /// Its prefix.
        prefix: Arc<str>,
    },
    /// A route leads to no service.
    #[snafu(display("route {route} has no target; name a service or give one a weight above 0"))]
    NoTarget {
        /// The route.
        route: RouteName,
    },
    /// A key belongs to two client accounts.
    #[snafu(display("client accounts {first} and {second} share a key; give each its own"))]
    SharedKey {
        /// One of the accounts.
        first: Account,
        /// The other.
        second: Account,
    },
}

/// One version of what the operator configured.
#[derive(Debug)]
pub struct Plan {
    version: u64,
    // Sorted by host, then by falling length of the prefix.
    routes: Vec<Arc<Route>>,
    services: Sorted<Service, ServiceTerms>,
    accounts: Sorted<Account, Arc<AccountTerms>>,
    keys: Sorted<Secret, Account>,
    callers: CallerLimits,
}

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: RouteName,
    /// The host, in lower case.
    pub host: Arc<str>,
    /// The path prefix.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub replay: Replay,
    /// The longest time to the final answer; none leaves it to the caller.
    pub timeout: Option<Duration>,
    /// The time within which an answer is in time.
    pub objective: Duration,
    /// What waits first under overload.
    pub priority: Priority,
    /// The services that share the requests, with their weights.
    pub targets: Vec<(Service, u32)>,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Who may call.
    pub access: Access,
    /// Whether a backend server answers faster about objects it has handled lately.
    pub sticky: bool,
    /// The regions that may run the requests; empty for all.
    pub homes: Vec<Region>,
}

/// What holds for all backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTerms {
    /// How long a backend server is cold after its start.
    pub cold_span: Duration,
    /// Requests a second that a cold backend server tolerates from all instances.
    pub cold_rate: f64,
}

/// What holds for a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountTerms {
    /// The client account.
    pub account: Account,
    /// Its priority, which goes before the route's.
    pub priority: Option<Priority>,
    /// Requests a second over all instances; none for no limit.
    pub rate: Option<f64>,
    /// Requests above the rate that may come at once, over all instances.
    pub burst: f64,
    /// The regions that may run its requests; empty for all.
    pub homes: Vec<Region>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// The longest time that a connection stays idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Plan {
    /// Checks and indexes a version of the configuration.
    ///
    /// # Errors
    ///
    /// Fails when a route can't be matched or leads nowhere, or when two
    /// client accounts share a key.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Sorted<Service, ServiceTerms>,
        accounts: Vec<(AccountTerms, Vec<Secret>)>,
        callers: CallerLimits,
    ) -> Result<Self, PlanError> {
        for route in &mut routes {
            let (name, prefix) = (&route.name, &route.prefix);
            let closed = prefix.starts_with('/') && prefix.ends_with('/');
            ensure!(
                closed,
                PrefixSnafu {
                    route: name.clone(),
                    prefix: Arc::clone(prefix)
                }
            );
            route.targets.retain(|(_, weight)| *weight > 0);
            ensure!(
                !route.targets.is_empty(),
                NoTargetSnafu {
                    route: route.name.clone()
                }
            );
        }
        let longest = |route: &Route| std::cmp::Reverse(route.prefix.len());
        routes.sort_by(|a, b| (&a.host, longest(a)).cmp(&(&b.host, longest(b))));
        let mut keys: Sorted<Secret, Account> = Sorted::default();
        let mut known = Sorted::default();
        for (terms, own) in accounts {
            for key in own {
                let second = terms.account.clone();
                if let Some(first) = keys.insert(key, second.clone()) {
                    ensure!(first == second, SharedKeySnafu { first, second });
                }
            }
            known.insert(terms.account.clone(), Arc::new(terms));
        }
        Ok(Self {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            accounts: known,
            keys,
            callers,
        })
    }

    /// The version, which rises with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = &self.routes[self.host_rows(host)];
        of_host.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Every route, sorted by host.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Whether callers need keys at all.
    pub fn is_keyed(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The client account that holds a key.
    pub fn holder(&self, key: &Secret) -> Option<&Arc<AccountTerms>> {
        self.accounts.get(self.keys.get(key)?)
    }

    /// Every client account, in the order of the names.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountTerms>> {
        self.accounts.iter().map(|row| row.1)
    }

    /// What holds for the backend servers of a service.
    pub fn service(&self, service: &Service) -> Option<&ServiceTerms> {
        self.services.get(service)
    }

    /// What callers may send.
    pub fn callers(&self) -> CallerLimits {
        self.callers
    }

    fn host_rows(&self, host: &str) -> Range<usize> {
        let start = self.routes.partition_point(|r| &*r.host < host);
        let count = self.routes[start..].partition_point(|r| &*r.host == host);
        start..start + count
    }
}
