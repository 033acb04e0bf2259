//! Folders of stories. Each run has folders of its own, so that runs at once in one checkout don't meet in one.

use std::fs;
use std::path::{Path, PathBuf};
use std::process;

/// The name of a folder of this run for a story, below `base`; nothing is there yet. What runs left that have ended is removed.
pub fn run_folder(base: &str, story: &str) -> PathBuf {
    let prefix = format!("{story}-");
    for entry in fs::read_dir(base).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let run = name.to_str().and_then(|name| name.strip_prefix(&prefix)?.parse::<u32>().ok());
        if run.is_some_and(|id| id == process::id() || !Path::new(&format!("/proc/{id}")).exists()) {
            let _ = fs::remove_dir_all(entry.path());
        }
    }
    Path::new(base).join(format!("{prefix}{}", process::id()))
}
