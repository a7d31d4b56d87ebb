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

/// Everything that limits and steers the traffic of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The client account.
    pub account: Account,
    /// The values of the Host header that belong to the account, in lower case, sorted.
    pub hosts: Vec<Arc<str>>,
    /// Requests a second across all instances.
    pub rate: f64,
    /// Requests above the rate that may come at once, across all instances.
    pub burst: f64,
    /// The routes, longest path prefix first.
    pub routes: Vec<Arc<Route>>,
    /// The regions that may serve the account, sorted by name.
    pub regions: Vec<RegionLimit>,
    /// How new versions take over.
    pub versions: VersionPolicy,
}

/// One route of a contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: RouteName,
    /// The path prefix.
    pub path: Arc<str>,
    /// The HTTP methods, in upper case, sorted.
    pub methods: Vec<Arc<str>>,
    /// The service that runs the requests.
    pub service: Service,
    /// Who may call.
    pub access: Access,
    /// Whether a request may run more than once.
    pub replay: Replay,
    /// What waits first under overload.
    pub priority: Priority,
    /// The longest time to the end of the answer's head.
    pub deadline: Duration,
}

/// The limits of one region for the account.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLimit {
    /// The region.
    pub name: Region,
    /// Requests a second that the region takes for the account.
    pub capacity: f64,
    /// Requests a second by which traffic moved here may grow in each second.
    pub shift: f64,
}

/// How new versions take over.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionPolicy {
    /// The share of requests that an unproven version gets, 0 to 0.5.
    pub share: f64,
    /// The time from the start of a move to its end.
    pub deadline: Duration,
    /// The failure ratio above the old version's that counts as a fault.
    pub margin: f64,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only callers with a key of the account.
    #[default]
    Keyed,
    /// Everyone.
    Open,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Replay {
    /// A second run changes nothing, so a request may be retried.
    #[default]
    Idempotent,
    /// At most one run; a claim in the platform comes before it.
    Once,
    /// At most one run; the backend server recognises a request key it has seen.
    Deduplicated,
}

/// What waits first under overload, most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Never waits behind another class.
    Urgent,
    /// The usual class.
    #[default]
    Normal,
    /// Waits whenever others need the room.
    Deferrable,
}

impl Contract {
    /// Reads and checks a contract; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a contract or a field can't be used.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let raw: raw::Contract = serde_yaml_ng::from_str(text).context(YamlSnafu { file })?;
        Self::check(file, raw)
    }

    /// Finds the route for a method and a path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|r| r.matches(method, path))
    }

    /// Finds the limits of a region.
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
        let known = self.methods.binary_search_by(|m| (**m).cmp(method));
        known.is_ok() && path.starts_with(&*self.path)
    }
}

fn positive(file: &str, field: &str, value: f64) -> Result<f64, Error> {
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(Error::field(file, field, value, "give a number above zero"))
}

fn hosts(file: &str, raw: &[String]) -> Result<Vec<Arc<str>>, Error> {
    if raw.is_empty() {
        return Err(Error::field(file, "hosts", "[]", "list at least one host"));
    }
    let mut hosts = Vec::with_capacity(raw.len());
    for host in raw {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-.".contains(&b);
        if host.is_empty() || !host.bytes().all(plain) {
            let remedy = "give a host name without a port";
            return Err(Error::field(file, "hosts", host, remedy));
        }
        hosts.push(host.to_ascii_lowercase().into());
    }
    unique(file, "hosts", hosts, |h| h)
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
    let mut routes = unique(file, "routes.name", routes, |r| r.name.as_str())?;
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
        let remedy = "give a span above zero";
        return Err(Error::field(file, "routes.deadline", "0s", remedy));
    }
    let upper = |m: &String| Arc::from(m.to_ascii_uppercase());
    let methods = raw.methods.iter().map(upper).collect();
    Ok(Arc::new(Route {
        name: raw.name.try_into()?,
        path: raw.path.into(),
        methods: unique(file, "routes.methods", methods, |m: &Arc<str>| m)?,
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
    unique(file, "regions.name", regions, |r| r.name.as_str())
}

fn versions(file: &str, raw: &raw::Versions) -> Result<VersionPolicy, Error> {
    let share = positive(file, "versions.share", raw.share)?;
    if share > 0.5 {
        let remedy = "give a share of at most 0.5";
        return Err(Error::field(file, "versions.share", share, remedy));
    }
    if raw.deadline.is_zero() {
        let remedy = "give a span above zero";
        return Err(Error::field(file, "versions.deadline", "0s", remedy));
    }
    Ok(VersionPolicy {
        share,
        deadline: raw.deadline,
        margin: positive(file, "versions.margin", raw.margin)?,
    })
}

// Sorts by a key and refuses the first repeat of it.
fn unique<T>(
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
