//! Maps the names of a protocol to small indices and back, at the door.

use std::collections::HashMap;
use std::hash::Hasher;

use fnv::FnvHasher;

/// Names and their indices. A forgotten index is given out again, so that it stays as small as what is held.
#[derive(Default)]
pub struct Interner {
    indices: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl Interner {
    /// The index of a name, a new one if it has none yet.
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

    pub fn get(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// A number from the name, the same at every router and spread over all its bits.
    pub fn stable_hash(&self, index: usize) -> u64 {
        let mut hash = FnvHasher::default();
        hash.write(self.names[index].as_bytes());
        hash.finish()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }

    pub fn release(&mut self, index: usize) {
        if self.indices.remove(&self.names[index]).is_some() {
            self.free.push(index);
        }
    }
}
