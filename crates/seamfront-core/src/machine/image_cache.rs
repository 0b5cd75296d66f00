//! The image cache of a machine: cached images, and images being fetched.

use std::collections::BTreeMap;

/// An image in a machine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedImage {
    /// Name.
    pub name: String,
    /// Size in MB.
    pub size_mb: i64,
}

/// The image cache of a machine.
#[derive(Clone, Debug)]
pub struct ImageCache {
    /// Cached images, the least recently used first.
    pub images: Vec<CachedImage>,
    /// Images being fetched for tasks placed on the machine, with their sizes in MB. Concurrent fetches share the
    /// machine's fetch rate.
    pub fetching: BTreeMap<String, i64>,
    /// The tasks placed on the machine, or its cached images, have changed since `fetching` was computed.
    pub fetches_changed: bool,
}

impl Default for ImageCache {
    /// An empty cache whose fetches have yet to be computed.
    fn default() -> Self {
        ImageCache {
            images: Vec::new(),
            fetching: BTreeMap::new(),
            fetches_changed: true,
        }
    }
}

impl ImageCache {
    /// Whether an image is cached.
    pub fn has_image(&self, name: &str) -> bool {
        self.images.iter().any(|image| image.name == name)
    }

    /// MB that must be fetched before a task with this image can start, other images included.
    pub fn to_fetch_mb(&self, name: &str, size_mb: i64) -> i64 {
        if self.has_image(name) {
            return 0;
        }
        let others: i64 = self
            .fetching
            .iter()
            .filter(|(image, _)| *image != name)
            .map(|(_, mb)| mb)
            .sum();
        others + size_mb
    }

    /// Marks an image as the most recently used one, and evicts as the agent does: the least recently used images go
    /// until the others fit into the cache. The image itself always stays.
    pub fn use_image(&mut self, name: &str, size_mb: i64, cache_mb: i64) {
        self.images.retain(|image| image.name != name);
        self.images.push(CachedImage {
            name: name.to_owned(),
            size_mb,
        });
        while self.images.len() > 1 && self.used_mb() > cache_mb {
            self.images.remove(0);
        }
    }

    fn used_mb(&self) -> i64 {
        self.images.iter().map(|image| image.size_mb).sum()
    }
}
