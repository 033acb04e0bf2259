//! Folders for the files of a test run. Each process has its own, so that concurrent runs in one checkout
//! don't interfere.

use std::fs;
use std::path::{Path, PathBuf};
use std::process;

/// Returns the path of a folder below `base` that belongs to this process and this test; it does not exist
/// yet. Folders of processes that have ended are removed.
pub fn run_folder(base: &str, test: &str) -> PathBuf {
    let prefix = format!("{test}-");
    for entry in fs::read_dir(base).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let run = name.to_str().and_then(|name| name.strip_prefix(&prefix)?.parse::<u32>().ok());
        if run.is_some_and(|id| id == process::id() || !Path::new(&format!("/proc/{id}")).exists()) {
            let _ = fs::remove_dir_all(entry.path());
        }
    }
    Path::new(base).join(format!("{prefix}{}", process::id()))
}
