//! Typed names, so that the name of a workspace can't be passed for that of a pool.
//!
//! A name is a shared string: cloning it increments a reference count and doesn't allocate.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The empty name, for where the name follows from the context.
            pub fn none() -> $name {
                $name(Arc::from(""))
            }

            /// Whether the name is empty.
            pub fn is_none(&self) -> bool {
                self.0.is_empty()
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> $name {
                $name(Arc::from(s))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A workspace: the customer whose requests are served.
    WorkspaceName
);
name!(
    /// A service that callers address.
    ServiceName
);
name!(
    /// A pool of upstreams that serve the same services.
    PoolName
);
name!(
    /// An upstream: one engine or plain service process.
    UpstreamName
);
name!(
    /// A version of the software of a service's upstreams.
    VersionName
);
name!(
    /// A box that runs the router.
    BoxName
);
name!(
    /// An availability zone.
    ZoneName
);
