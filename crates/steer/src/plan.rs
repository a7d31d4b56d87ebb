//! One version of the operator's configuration: routes, services and client
//! accounts.

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
use corianderway_model::SortedMap;
use snafu::ensure;
use snafu::Snafu;

/// An error in a version of the configuration.
#[derive(Debug, Snafu)]
pub enum PlanError {
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("route {route}: prefix {prefix:?} must begin and end with a slash"))]
    Prefix {
        /// The route.
        route: RouteName,
        /// The invalid prefix.
        prefix: Arc<str>,
    },
    /// A route has no service with a weight above 0.
    #[snafu(display("route {route} has no target; name a service or give one a weight above 0"))]
    NoTarget {
        /// The route.
        route: RouteName,
    },
    /// A key belongs to two client accounts.
    #[snafu(display("client accounts {first} and {second} share a key; give each its own"))]
    SharedKey {
        /// The account that is configured first.
        first: Account,
        /// The account that is configured later.
        second: Account,
    },
}

/// One version of the operator's configuration.
///
/// Every route has a target with a weight above 0 and a prefix that begins and ends
/// with a slash, and each key belongs to one client account.
#[derive(Debug)]
pub struct Plan {
    version: u64,
    // Sorted by host, then by descending length of the prefix.
    routes: Vec<Arc<Route>>,
    services: SortedMap<Service, ServiceTerms>,
    accounts: SortedMap<Account, Arc<AccountTerms>>,
    keys: SortedMap<Secret, Account>,
    caller_limits: CallerLimits,
}

/// The targets and the treatment of requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in logs and metrics.
    pub name: RouteName,
    /// The host, in lower case.
    pub host: Arc<str>,
    /// The path prefix.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub replay: Replay,
    /// The maximum time to the final answer; if `None`, the caller's limit applies.
    pub timeout: Option<Duration>,
    /// The target latency of an answer.
    pub target_latency: Duration,
    /// Decides which requests wait first under overload.
    pub priority: Priority,
    /// The services among which the requests are split, with their weights.
    pub targets: Vec<(Service, u32)>,
    /// The maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need a key.
    pub access: Access,
    /// Whether a backend server answers faster for objects that it handled recently.
    pub sticky: bool,
    /// The regions that may run the requests; if empty, all may.
    pub regions: Vec<Region>,
}

/// The settings of all backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTerms {
    /// How long a backend server is cold after its start.
    pub cold_duration: Duration,
    /// Requests per second that a cold backend server tolerates, over all instances.
    pub cold_rate: f64,
}

/// The settings of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountTerms {
    /// The client account.
    pub account: Account,
    /// Its priority, which overrides the route's.
    pub priority: Option<Priority>,
    /// The limit in requests per second, over all instances; `None` for no limit.
    pub rate: Option<f64>,
    /// The number of requests that may exceed the rate at once, over all instances.
    pub burst: f64,
    /// The regions that may run its requests; if empty, all may.
    pub regions: Vec<Region>,
}

/// Limits on the size and timing of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// The maximum time that a connection stays idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Plan {
    /// Validates and indexes a version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a prefix does not begin and end with a slash, if a route
    /// has no target with a weight above 0, or if two client accounts share a key.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: SortedMap<Service, ServiceTerms>,
        accounts: Vec<(AccountTerms, Vec<Secret>)>,
        limits: CallerLimits,
    ) -> Result<Self, PlanError> {
        for route in &mut routes {
            let (name, prefix) = (&route.name, &route.prefix);
            let delimited = prefix.starts_with('/') && prefix.ends_with('/');
            ensure!(
                delimited,
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
        let by_length = |route: &Route| std::cmp::Reverse(route.prefix.len());
        routes.sort_by(|a, b| (&a.host, by_length(a)).cmp(&(&b.host, by_length(b))));
        let mut keys: SortedMap<Secret, Account> = SortedMap::default();
        let mut indexed = SortedMap::default();
        for (terms, own) in accounts {
            for key in own {
                let second = terms.account.clone();
                if let Some(first) = keys.insert(key, second.clone()) {
                    ensure!(first == second, SharedKeySnafu { first, second });
                }
            }
            indexed.insert(terms.account.clone(), Arc::new(terms));
        }
        Ok(Self {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            accounts: indexed,
            keys,
            caller_limits: limits,
        })
    }

    /// Returns the version number, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = &self.routes[self.host_rows(host)];
        host_routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns all routes, sorted by host.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns whether any client accounts, and so keys, are configured.
    pub fn is_keyed(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the client account that a key belongs to.
    pub fn key_account(&self, key: &Secret) -> Option<&Arc<AccountTerms>> {
        self.accounts.get(self.keys.get(key)?)
    }

    /// Returns all client accounts, sorted by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountTerms>> {
        self.accounts.iter().map(|row| row.1)
    }

    /// Returns the settings of a service's backend servers.
    pub fn service(&self, service: &Service) -> Option<&ServiceTerms> {
        self.services.get(service)
    }

    /// Returns the limits on callers.
    pub fn callers(&self) -> CallerLimits {
        self.caller_limits
    }

    fn host_rows(&self, host: &str) -> Range<usize> {
        let start = self.routes.partition_point(|r| &*r.host < host);
        let count = self.routes[start..].partition_point(|r| &*r.host == host);
        start..start + count
    }
}
