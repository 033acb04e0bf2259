//! Maps the names of a protocol to small indices and back.

use std::collections::HashMap;
use std::hash::Hasher;

use fnv::FnvHasher;

/// A table of names and their indices. Released indices are reused, so that the indices stay small.
#[derive(Default)]
pub struct Interner {
    indices: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl Interner {
    /// Returns the index of a name and assigns one if it has none.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.names.push(String::new());
            self.names.len() - 1
        });
        self.names[index] = name.to_owned();
        self.indices.insert(name.to_owned(), index);
        index
    }

    /// Returns the index of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// A hash of the name (FNV-1a), the same at every router and spread over all 64 bits. Panics if the index
    /// was never assigned.
    pub fn stable_hash(&self, index: usize) -> u64 {
        let mut hash = FnvHasher::default();
        hash.write(self.names[index].as_bytes());
        hash.finish()
    }

    /// The name of an index. Panics if the index was never assigned.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }

    /// Removes the name of an index, so that the index may be reused. Does nothing if the index has no name at
    /// present. Panics if the index was never assigned.
    pub fn release(&mut self, index: usize) {
        let name = &self.names[index];
        if self.get(name) == Some(index) {
            self.indices.remove(name);
            self.free.push(index);
        }
    }
}
