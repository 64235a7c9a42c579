//! Lists of objects that are read page by page.

use std::collections::BTreeMap;

use super::StoredObject;

/// Largest list of a kind, in bytes. A store in trouble may give pages without end.
pub const MAX_LIST_BYTES: usize = 16 << 20;
/// Estimated memory of an object besides its name and its content.
const OBJECT_OVERHEAD_BYTES: usize = 128;

/// Pages of a list that have been read so far, within [`MAX_LIST_BYTES`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pages {
    objects: BTreeMap<String, StoredObject>,
    after: Option<String>,
    bytes: usize,
}

impl Pages {
    /// Adds the next page; `more` tells whether the store has further ones. Returns whether to read
    /// on.
    ///
    /// # Errors
    ///
    /// If the list is too long, or the page contains nothing new although there are more.
    pub fn add(&mut self, items: Vec<StoredObject>, more: bool) -> Result<bool, String> {
        let known = self.objects.len();
        self.after = items.last().map(|o| o.name.clone());
        for object in items {
            self.bytes += object.name.len() + object.value.len() + OBJECT_OVERHEAD_BYTES;
            self.objects.insert(object.name.clone(), object);
        }
        if self.bytes > MAX_LIST_BYTES {
            return Err(format!("the list is longer than {MAX_LIST_BYTES} bytes"));
        }
        let goes_on = more && self.after.is_some();
        if goes_on && self.objects.len() == known {
            return Err("a page of the list contains nothing new".to_owned());
        }
        Ok(goes_on)
    }

    /// Last name of the previous page; `None` for the first page.
    #[must_use]
    pub fn after(&self) -> Option<&String> {
        self.after.as_ref()
    }

    /// Objects of all pages, in order of names.
    #[must_use]
    pub fn into_objects(self) -> Vec<StoredObject> {
        self.objects.into_values().collect()
    }
}
