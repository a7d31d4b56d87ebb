//! The checked contract of a client account.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::YamlSnafu;
use crate::name::Account;
use crate::name::Region;
use crate::name::RouteName;
use crate::name::Service;
use crate::raw;

/// The limits, routes and version policy of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The client account.
    pub account: Account,
    /// The values of the Host header that belong to the account, in lower case, sorted.
    pub hosts: Vec<Arc<str>>,
    /// The allowed requests per second, across all instances.
    pub rate: f64,
    /// The number of requests above the rate that may arrive at once, across all instances.
    pub burst: f64,
    /// The routes, longest path prefix first.
    pub routes: Vec<Arc<Route>>,
    /// The regions that may serve the account, sorted by name.
    pub regions: Vec<RegionLimit>,
    /// The policy for moves to new versions.
    pub versions: VersionPolicy,
}

/// A route of a contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: RouteName,
    /// The path prefix that a request's path must have.
    pub path: Arc<str>,
    /// The HTTP methods, in upper case, sorted.
    pub methods: Vec<Arc<str>>,
    /// The service that handles the requests.
    pub service: Service,
    /// Who may call the route.
    pub access: Access,
    /// Whether a request may run more than once.
    pub replay: Replay,
    /// The priority under overload.
    pub priority: Priority,
    /// The maximum time until the end of the response's head.
    pub deadline: Duration,
}

/// The limits of one region for the account.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLimit {
    /// The region.
    pub name: Region,
    /// The requests per second that the region serves for the account.
    pub capacity: f64,
    /// The maximum growth per second of the traffic shifted to this region, in requests per second.
    pub shift: f64,
}

/// The policy for moves to new versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionPolicy {
    /// The share of requests that a version on trial receives, above 0 and at most 0.5.
    pub share: f64,
    /// The maximum time from the start of a move to its end.
    pub deadline: Duration,
    /// The excess over the old version's failure rate that counts as a fault.
    pub margin: f64,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only callers with a key of the account.
    #[default]
    Keyed,
    /// All callers, without a key.
    Open,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Replay {
    /// A second run changes nothing, so a request may be retried.
    #[default]
    Idempotent,
    /// At most one run; a claim is stored in the platform before it.
    Once,
    /// At most one run; the backend server detects a repeated request key.
    Deduplicated,
}

/// The priority of a request under overload, in descending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Never waits behind another priority.
    Urgent,
    /// The default priority.
    #[default]
    Normal,
    /// Waits whenever requests of other priorities need the capacity.
    Deferrable,
}

impl Contract {
    /// Parses and checks a contract; `file` is the name that errors state.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a contract or a field is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let raw: raw::Contract = serde_yaml_ng::from_str(text).context(YamlSnafu { file })?;
        Self::check(file, raw)
    }

    /// Returns the route for a method and a path: the one with the longest matching prefix.
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|r| r.matches(method, path))
    }

    /// Returns the limits of a region, if it may serve the account.
    pub fn region(&self, name: &Region) -> Option<&RegionLimit> {
        let at = self.regions.binary_search_by(|r| r.name.cmp(name)).ok()?;
        self.regions.get(at)
    }

    fn check(file: &str, raw: raw::Contract) -> Result<Self, Error> {
        let account = Account::try_from(raw.account)?;
        let rate = positive(file, "rate", raw.rate)?;
        let burst = positive(file, "burst", raw.burst)?;
        Ok(Self {
            account,
            hosts: hosts(file, &raw.hosts)?,
            rate,
            burst,
            routes: routes(file, raw.routes)?,
            regions: regions(file, raw.regions)?,
            versions: versions(file, &raw.versions)?,
        })
    }
}

impl TryFrom<raw::Contract> for Contract {
    type Error = Error;

    fn try_from(raw: raw::Contract) -> Result<Self, Error> {
        Self::check("contract", raw)
    }
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let found = self.methods.binary_search_by(|m| (**m).cmp(method));
        found.is_ok() && path.starts_with(&*self.path)
    }
}

fn positive(file: &str, field: &str, value: f64) -> Result<f64, Error> {
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(Error::field(file, field, value, "use a number above zero"))
}

fn hosts(file: &str, raw: &[String]) -> Result<Vec<Arc<str>>, Error> {
    if raw.is_empty() {
        return Err(Error::field(file, "hosts", "[]", "list at least one host"));
    }
    let mut hosts = Vec::with_capacity(raw.len());
    for host in raw {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-.".contains(&b);
        if host.is_empty() || !host.bytes().all(allowed) {
            let remedy = "use a host name without a port";
            return Err(Error::field(file, "hosts", host, remedy));
        }
        hosts.push(host.to_ascii_lowercase().into());
    }
    sort_unique(file, "hosts", hosts, |h| h)
}

fn routes(file: &str, raw: Vec<raw::Route>) -> Result<Vec<Arc<Route>>, Error> {
    if raw.is_empty() {
        return Err(Error::field(
            file,
            "routes",
            "[]",
            "list at least one route",
        ));
    }
    let routes = raw.into_iter().map(|r| route(file, r));
    let routes = routes.collect::<Result<Vec<_>, _>>()?;
    let mut routes = sort_unique(file, "routes.name", routes, |r| r.name.as_str())?;
    routes.sort_by_key(|r| std::cmp::Reverse(r.path.len()));
    Ok(routes)
}

fn route(file: &str, raw: raw::Route) -> Result<Arc<Route>, Error> {
    if !raw.path.starts_with('/') {
        let remedy = "begin the path with a slash";
        return Err(Error::field(file, "routes.path", raw.path, remedy));
    }
    if raw.methods.is_empty() {
        let remedy = "list at least one method";
        return Err(Error::field(file, "routes.methods", "[]", remedy));
    }
    if raw.deadline.is_zero() {
        let remedy = "use a duration above zero";
        return Err(Error::field(file, "routes.deadline", "0s", remedy));
    }
    let upper = |m: &String| Arc::from(m.to_ascii_uppercase());
    let methods = raw.methods.iter().map(upper).collect();
    Ok(Arc::new(Route {
        name: raw.name.try_into()?,
        path: raw.path.into(),
        methods: sort_unique(file, "routes.methods", methods, |m: &Arc<str>| m)?,
        service: raw.service.try_into()?,
        access: raw.access,
        replay: raw.replay,
        priority: raw.priority,
        deadline: raw.deadline,
    }))
}

fn regions(file: &str, raw: Vec<raw::Region>) -> Result<Vec<RegionLimit>, Error> {
    if raw.is_empty() {
        return Err(Error::field(
            file,
            "regions",
            "[]",
            "list at least one region",
        ));
    }
    let mut regions = Vec::with_capacity(raw.len());
    for region in raw {
        regions.push(RegionLimit {
            name: region.name.try_into()?,
            capacity: positive(file, "regions.capacity", region.capacity)?,
            shift: positive(file, "regions.shift", region.shift)?,
        });
    }
    sort_unique(file, "regions.name", regions, |r| r.name.as_str())
}

fn versions(file: &str, raw: &raw::Versions) -> Result<VersionPolicy, Error> {
    let share = positive(file, "versions.share", raw.share)?;
    if share > 0.5 {
        let remedy = "use a share of at most 0.5";
        return Err(Error::field(file, "versions.share", share, remedy));
    }
    if raw.deadline.is_zero() {
        let remedy = "use a duration above zero";
        return Err(Error::field(file, "versions.deadline", "0s", remedy));
    }
    Ok(VersionPolicy {
        share,
        deadline: raw.deadline,
        margin: positive(file, "versions.margin", raw.margin)?,
    })
}

// Sorts by a key and returns an error if two items have the same key.
fn sort_unique<T>(
    file: &str,
    field: &str,
    mut all: Vec<T>,
    key: impl Fn(&T) -> &str,
) -> Result<Vec<T>, Error> {
    all.sort_by(|a, b| key(a).cmp(key(b)));
    match all.windows(2).find(|w| key(&w[0]) == key(&w[1])) {
        Some(pair) => Err(Error::field(file, field, key(&pair[0]), "list it once")),
        None => Ok(all),
    }
}
