//! Identifiers of jobs, machines and tasks.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// The first sixteen bytes of a text as a big-endian integer, so that the integers compare as the texts do.
fn sort_prefix(text: &str) -> u128 {
    let mut prefix = [0; 16];
    let n = text.len().min(16);
    prefix[..n].copy_from_slice(&text.as_bytes()[..n]);
    u128::from_be_bytes(prefix)
}

// Names are short, and comparing them is the most frequent operation of all. The first bytes, which decide nearly every
// comparison, are stored inline next to the pointer to the text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Serialize, Deserialize)]
        #[serde(from = "Arc<str>", into = "Arc<str>")]
        pub struct $name {
            prefix: u128,
            text: Arc<str>,
        }
        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.text
            }
        }
        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                $name { prefix: sort_prefix(&text), text }
            }
        }
        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.text
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name::from(Arc::<str>::from(s))
            }
        }
        impl PartialEq for $name {
            fn eq(&self, o: &Self) -> bool {
                self.cmp(o).is_eq()
            }
        }
        impl Eq for $name {}
        impl PartialOrd for $name {
            fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
                Some(self.cmp(o))
            }
        }
        impl Ord for $name {
            fn cmp(&self, o: &Self) -> Ordering {
                self.prefix.cmp(&o.prefix).then_with(|| match (self.text.len(), o.text.len()) {
                    // Both texts lie within the prefix, which is padded with zeros: where the prefixes are equal, the
                    // texts differ in trailing zero bytes at most.
                    (a, b) if a <= 16 && b <= 16 => a.cmp(&b),
                    _ => self.text.cmp(&o.text),
                })
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", self.as_str())
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.text)
            }
        }
    };
}

name_type!(
    /// Identifier of a job, chosen by its user.
    JobId
);
name_type!(
    /// Name of a machine, assigned by the cloud.
    MachineId
);

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
