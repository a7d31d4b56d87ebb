//! The error type of this package.

use snafu::Snafu;

/// An invalid input to a table; the message names the remedy.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Kind {
    #[snafu(display("charts/server.yaml: {source}"))]
    Chart { source: corianderway_chart::Error },
    #[snafu(display("invalid prefix {text:?}; write an address, a slash and a length of at most 32 for IPv4 or 64 for IPv6"))]
    Prefix { text: String },
    #[snafu(display("prefix {text:?} has bits set beyond its length; clear them"))]
    HostBits { text: String },
    #[snafu(display("prefix {text:?} is listed twice; list it once"))]
    RepeatedPrefix { text: String },
    #[snafu(display("site {site:?} is unknown; add it to the list of sites"))]
    UnknownSite { site: String },
    #[snafu(display("site {site:?} is listed twice; list it once"))]
    RepeatedSite { site: String },
    #[snafu(display("the list of sites is empty or longer than 65,535; list at least one"))]
    SiteCount,
    #[snafu(display(
        "site {site:?} has weight {weight}; give a share to keep from 0 to 1 and an overflow weight of at least 0"
    ))]
    Weight { site: String, weight: f64 },
}
