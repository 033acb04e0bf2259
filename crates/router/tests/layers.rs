//! Layers point one way: no files of a package import one another in a circle.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Module paths below the package's root, each with its text; tests inside files would count too.
fn files(folder: &Path, under: &str, found: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let (path, name) = (entry.path(), entry.file_name().into_string().unwrap());
        if path.is_dir() {
            files(&path, &format!("{under}{name}::"), found);
        } else if let Some(name) = name.strip_suffix(".rs") {
            found.insert(format!("{under}{name}"), fs::read_to_string(&path).unwrap());
        }
    }
}

/// The module that an import from the package's root leads to: the longest path that is a file.
fn target<'a>(import: &str, of: &'a BTreeMap<String, String>) -> Option<&'a str> {
    let fits = |name: &&String| {
        import.strip_prefix(name.as_str()).is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
    };
    of.keys().filter(fits).max_by_key(|name| name.len()).map(String::as_str)
}

/// What a file imports, with groups behind `{` counted as the path before them and each first part.
fn imports(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for line in text.split(';').flat_map(|part| part.split("use crate::").nth(1)) {
        let line: String = line.split_whitespace().collect();
        match line.split_once('{') {
            Some((before, rest)) => {
                let parts = rest.split([',', '{', '}']).filter(|part| !part.is_empty());
                found.extend(parts.map(|part| format!("{before}{part}")));
            }
            None => found.push(line),
        }
    }
    found
}

fn circle(root: &Path) -> Option<Vec<String>> {
    let mut all = BTreeMap::new();
    files(root, "", &mut all);
    // The root and the folders' own files only say what there is.
    let arrows: BTreeMap<&str, BTreeSet<&str>> = all
        .iter()
        .filter(|(name, _)| *name != "lib" && *name != "main")
        .map(|(name, text)| {
            let to = imports(text).iter().filter_map(|import| target(import, &all)).collect::<BTreeSet<_>>();
            (name.as_str(), to.into_iter().filter(|to| to != name).collect())
        })
        .collect();
    let mut left: BTreeMap<&str, BTreeSet<&str>> = arrows;
    loop {
        let free: Vec<&str> = left
            .iter()
            .filter(|(_, to)| to.iter().all(|to| !left.contains_key(to)))
            .map(|(name, _)| *name)
            .collect();
        if free.is_empty() {
            return (!left.is_empty()).then(|| left.keys().map(|name| (*name).to_owned()).collect());
        }
        free.iter().for_each(|name| drop(left.remove(name)));
    }
}

#[test]
fn no_files_of_a_package_import_one_another_in_a_circle() {
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    for package in fs::read_dir(crates).unwrap().flatten() {
        let root = package.path().join("src");
        if root.is_dir() {
            let circle = circle(&root);
            assert!(circle.is_none(), "{}: {circle:?}", root.display());
        }
    }
}
