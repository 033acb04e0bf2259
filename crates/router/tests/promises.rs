//! The page of promises names functions and tests that exist.

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The texts of all Rust files below a folder.
fn texts(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            texts(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(fs::read_to_string(&path).unwrap());
        }
    }
}

/// What stands between back ticks in the rows of tables.
fn quoted(page: &str) -> Vec<&str> {
    let rows = page.lines().filter(|line| line.starts_with('|'));
    rows.flat_map(|row| row.split('`').skip(1).step_by(2)).collect()
}

/// The fault of one quoted name, if it has one.
fn fault(name: &str, tests: &[String]) -> Option<String> {
    let declares = |text: &str, function: &str| text.contains(&format!("fn {function}("));
    if let Some((file, function)) = name.split_once("::") {
        let below = if file.starts_with("src/") { root() } else { root().join("crates/router/src") };
        let text = match fs::read_to_string(below.join(file)) {
            Ok(text) => text,
            Err(error) => return Some(format!("{file}: {error}")),
        };
        let generic = text.contains(&format!("fn {function}<"));
        return (!generic && !declares(&text, function)).then(|| format!("{file} has no {function}"));
    }
    let is_test = name.contains('_') && name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let known = || tests.iter().any(|text| declares(text, name));
    (is_test && !known()).then(|| format!("no test {name}"))
}

#[test]
fn every_function_and_test_that_the_page_names_exists() {
    let page = fs::read_to_string(root().join("docs/PROMISES.md")).unwrap();
    let mut tests = Vec::new();
    texts(&root().join("tests"), &mut tests);
    texts(&root().join("crates/router/tests"), &mut tests);
    let names = quoted(&page);
    assert!(names.len() > 60, "{} names", names.len());
    let faults: Vec<String> = names.into_iter().filter_map(|name| fault(name, &tests)).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn a_name_that_does_not_exist_is_found_out() {
    let tests = ["fn a_test_of_some_sort() {".to_owned()];
    assert_eq!(fault("a_test_of_some_sort", &tests), None);
    assert!(fault("a_test_of_no_sort", &tests).is_some());
    assert_eq!(fault("stop.rs::shut_down", &tests), None);
    assert!(fault("stop.rs::weight", &tests).is_some());
    assert!(fault("stops.rs::wait", &tests).is_some());
}
