//! Names: shared immutable strings, with a type for each kind of name.
//!
//! A name has 1 to 128 ASCII letters, digits, `-`, `_` and `.`.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ensure;

use crate::error::Error;
use crate::error::Kind;
use crate::error::NameSnafu;

/// The maximum length of a name.
const MAX_NAME_BYTES: usize = 128;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self, Error> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// The name of a client account.
    Account = "client account";
    /// The name of a failure domain.
    FailureDomain = "failure domain";
    /// The identity of one run of an entry instance.
    InstanceId = "instance";
    /// The public id of a key, without its secret.
    KeyId = "key id";
    /// The name of a region.
    Region = "region";
    /// The name of a route within a contract.
    RouteName = "route";
    /// The identity of a backend server.
    ServerId = "backend server";
    /// The name of a service.
    Service = "service";
    /// The name of a version of a service.
    Version = "version";
}

// Names appear in object paths, log lines and labels, so only characters that need no quoting in any
// of these are allowed.
fn check(kind: &'static str, name: &str) -> Result<(), Kind> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    let valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    ensure!(
        valid_length && name.bytes().all(allowed),
        NameSnafu { kind, name }
    );
    Ok(())
}
