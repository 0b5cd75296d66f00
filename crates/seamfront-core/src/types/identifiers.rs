//! Names of jobs, machines and tasks.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// A name's first sixteen bytes, such that they compare like the text itself.
fn head_of(text: &str) -> u128 {
    let mut head = [0; 16];
    let n = text.len().min(16);
    head[..n].copy_from_slice(&text.as_bytes()[..n]);
    u128::from_be_bytes(head)
}

// Names are short, and comparing them is the most frequent operation of all: the bytes that decide nearly every
// comparison are kept beside the pointer to the text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Serialize, Deserialize)]
        #[serde(from = "Arc<str>", into = "Arc<str>")]
        pub struct $name {
            head: u128,
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
                $name { head: head_of(&text), text }
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
                self.head.cmp(&o.head).then_with(|| match (self.text.len(), o.text.len()) {
                    // Shorter than the head: a zero byte there can't be told from the end of the text.
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
    /// A job's id as its user chose it.
    JobId
);
name_type!(
    /// A machine's name as the cloud gave it.
    MachineId
);

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Number of the task within it.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
