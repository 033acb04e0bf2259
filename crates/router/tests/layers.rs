//! The modules of a package import one another without cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Collects the module paths below the package's root, each with its text. Files with tests inside would
/// count too.
fn collect_modules(folder: &Path, parent: &str, modules: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let (path, name) = (entry.path(), entry.file_name().into_string().unwrap());
        if path.is_dir() {
            collect_modules(&path, &format!("{parent}{name}::"), modules);
        } else if let Some(name) = name.strip_suffix(".rs") {
            modules.insert(format!("{parent}{name}"), fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the module that an import from the package's root refers to: the longest module path that is a
/// prefix of it.
fn imported_module<'a>(import: &str, modules: &'a BTreeMap<String, String>) -> Option<&'a str> {
    let is_prefix = |name: &&String| {
        import.strip_prefix(name.as_str()).is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
    };
    modules.keys().filter(is_prefix).max_by_key(|name| name.len()).map(String::as_str)
}

/// Returns the paths that a file imports. A group in braces gives one path for each first segment in it.
fn imports(text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for line in text.split(';').flat_map(|part| part.split("use crate::").nth(1)) {
        let line: String = line.split_whitespace().collect();
        match line.split_once('{') {
            Some((before, rest)) => {
                let parts = rest.split([',', '{', '}']).filter(|part| !part.is_empty());
                paths.extend(parts.map(|part| format!("{before}{part}")));
            }
            None => paths.push(line),
        }
    }
    paths
}

fn find_cycle(root: &Path) -> Option<Vec<String>> {
    let mut modules = BTreeMap::new();
    collect_modules(root, "", &mut modules);
    // The root modules only declare the other modules.
    let dependencies: BTreeMap<&str, BTreeSet<&str>> = modules
        .iter()
        .filter(|(name, _)| *name != "lib" && *name != "main")
        .map(|(name, text)| {
            let imported = imports(text)
                .iter()
                .filter_map(|import| imported_module(import, &modules))
                .collect::<BTreeSet<_>>();
            (name.as_str(), imported.into_iter().filter(|other| other != name).collect())
        })
        .collect();
    let mut remaining: BTreeMap<&str, BTreeSet<&str>> = dependencies;
    loop {
        let leaves: Vec<&str> = remaining
            .iter()
            .filter(|(_, imported)| imported.iter().all(|other| !remaining.contains_key(other)))
            .map(|(name, _)| *name)
            .collect();
        if leaves.is_empty() {
            return (!remaining.is_empty())
                .then(|| remaining.keys().map(|name| (*name).to_owned()).collect());
        }
        leaves.iter().for_each(|name| drop(remaining.remove(name)));
    }
}

#[test]
fn modules_of_a_package_import_one_another_without_cycles() {
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    for package in fs::read_dir(crates).unwrap().flatten() {
        let root = package.path().join("src");
        if root.is_dir() {
            let cycle = find_cycle(&root);
            assert!(cycle.is_none(), "{}: {cycle:?}", root.display());
        }
    }
}
