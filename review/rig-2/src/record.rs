//! What was sent, answered and run, as lines with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:6} ms  {text}");
    }
}
