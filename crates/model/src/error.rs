//! The error of the conversion from raw input to checked types.

use snafu::Snafu;

/// Invalid input; the message states how to correct it.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

impl Error {
    pub(crate) fn field(
        file: &str,
        field: impl Into<String>,
        value: impl ToString,
        remedy: &'static str,
    ) -> Self {
        let value = value.to_string();
        FieldSnafu {
            file,
            field,
            value,
            remedy,
        }
        .build()
        .into()
    }
}

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Kind {
    #[snafu(display(
        "{kind} {name:?} is not a valid name; use 1 to 128 letters, digits, '-', '_' and '.'"
    ))]
    Name { kind: &'static str, name: String },
    #[snafu(display("{file}: {source}; correct the YAML"))]
    Yaml {
        file: String,
        source: serde_yaml_ng::Error,
    },
    #[snafu(display("{file}: {field}: {value:?} can't be used; {remedy}"))]
    Field {
        file: String,
        field: String,
        value: String,
        remedy: &'static str,
    },
}
