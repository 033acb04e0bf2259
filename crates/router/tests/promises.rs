//! Every function and test that docs/PROMISES.md names exists.

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the texts of all Rust files below a folder.
fn collect_sources(folder: &Path, sources: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            sources.push(fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the texts in backticks in the rows of tables.
fn quoted(page: &str) -> Vec<&str> {
    let rows = page.lines().filter(|line| line.starts_with('|'));
    rows.flat_map(|row| row.split('`').skip(1).step_by(2)).collect()
}

/// Returns an error message if a quoted name doesn't exist.
fn missing_name(name: &str, tests: &[String]) -> Option<String> {
    let declares = |text: &str, function: &str| text.contains(&format!("fn {function}("));
    if let Some((file, function)) = name.split_once("::") {
        let base = if file.starts_with("src/") { root() } else { root().join("crates/router/src") };
        let text = match fs::read_to_string(base.join(file)) {
            Ok(text) => text,
            Err(error) => return Some(format!("{file}: {error}")),
        };
        let generic = text.contains(&format!("fn {function}<"));
        return (!generic && !declares(&text, function)).then(|| format!("{file} has no {function}"));
    }
    let is_test = name.contains('_') && name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    let exists = || tests.iter().any(|text| declares(text, name));
    (is_test && !exists()).then(|| format!("no test {name}"))
}

#[test]
fn every_function_and_test_that_the_page_names_exists() {
    let page = fs::read_to_string(root().join("docs/PROMISES.md")).unwrap();
    let mut tests = Vec::new();
    collect_sources(&root().join("tests"), &mut tests);
    collect_sources(&root().join("crates/router/tests"), &mut tests);
    let names = quoted(&page);
    assert!(names.len() > 60, "{} names", names.len());
    let errors: Vec<String> = names.into_iter().filter_map(|name| missing_name(name, &tests)).collect();
    assert!(errors.is_empty(), "{errors:#?}");
}

#[test]
fn a_name_that_does_not_exist_is_reported() {
    let tests = ["fn a_test_of_some_sort() {".to_owned()];
    assert_eq!(missing_name("a_test_of_some_sort", &tests), None);
    assert!(missing_name("a_test_of_no_sort", &tests).is_some());
    assert_eq!(missing_name("stop.rs::shut_down", &tests), None);
    assert!(missing_name("stop.rs::shut_downs", &tests).is_some());
    assert!(missing_name("stops.rs::shut_down", &tests).is_some());
}
