//! Identifiers of hosts, data centres, regions and customers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{StableHash, hash_bytes};

/// Declares an identifier type that wraps a reference-counted string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the stable hash of the identifier.
            #[must_use]
            pub fn stable_hash(&self) -> StableHash {
                hash_bytes(self.0.as_bytes())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Identifies a host in the platform's host list.
    HostName
}

string_id! {
    /// Identifies a data centre.
    DataCentre
}

string_id! {
    /// Identifies a region, a group of data centres.
    RegionName
}

string_id! {
    /// Identifies a customer, as given in the request.
    CustomerId
}
