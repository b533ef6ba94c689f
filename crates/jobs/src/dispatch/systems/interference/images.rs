//! Names of images with their keys, bounded in number.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::dispatch::names::ImageKey;

/// Largest number of images that are known at a time. Deployments have hundreds.
const MAX_IMAGES: usize = 1_024;

#[derive(Clone, Debug)]
struct Image {
    name: String,
    /// Time at which a task of it was last placed, in milliseconds.
    used: u64,
}

/// Images with their keys. A key of an evicted image is never given to another one.
#[derive(Clone, Debug, Default)]
pub(super) struct Images {
    rows: SlotMap<ImageKey, Image>,
    keys: BTreeMap<String, ImageKey>,
}

impl Images {
    /// Key of an image, which is added if it is new. Evicts the one that was not used for longest if there are too many.
    pub(super) fn intern(&mut self, now: u64, name: &str) -> ImageKey {
        if let Some(&key) = self.keys.get(name) {
            if let Some(image) = self.rows.get_mut(key) {
                image.used = now;
            }
            return key;
        }
        if self.rows.len() >= MAX_IMAGES
            && let Some((oldest, _)) = self.rows.iter().min_by_key(|(_, image)| image.used)
            && let Some(evicted) = self.rows.remove(oldest)
        {
            self.keys.remove(&evicted.name);
        }
        let key = self.rows.insert(Image { name: name.to_owned(), used: now });
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Key of an image; none if it is not known.
    pub(super) fn key(&self, name: &str) -> Option<ImageKey> {
        self.keys.get(name).copied()
    }

    /// Name of an image; empty if it was evicted.
    pub(super) fn name(&self, key: ImageKey) -> &str {
        self.rows.get(key).map_or("", |image| &image.name)
    }

    /// True if the image is known.
    pub(super) fn contains(&self, key: ImageKey) -> bool {
        self.rows.contains_key(key)
    }

    /// Number of images.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}
