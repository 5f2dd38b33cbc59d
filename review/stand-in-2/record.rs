//! What was sent, answered and run: lines with their time, in a file.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run. Clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let at = self.started.elapsed().as_secs_f64();
        writeln!(file, "{at:9.3} {text}").ok();
        file.flush().ok();
    }
}
