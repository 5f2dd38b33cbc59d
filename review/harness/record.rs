//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt can be created");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.ms()).ok();
    }
}
