//! What operators may write into their file, and what they are told where they may not.

use std::fs;
use std::path::PathBuf;

use woadhook_operator::{FIELDS, OperatorFile, page, template};

/// A folder of its own for a story, with a file in it.
fn folder(story: &str, files: &[(&str, &str)]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{story}"));
    let _ = fs::remove_dir_all(&folder);
    for (name, text) in files {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
    folder
}

fn fault(story: &str, files: &[(&str, &str)]) -> String {
    template::evaluate(&folder(story, files).join("main.jsonnet")).unwrap_err()
}

const GOSSIP: &str = r#"{cluster: "c", listen: "127.0.0.1:7946", key: "k", pass: "p", operator_keys: []}"#;

#[test]
fn a_template_with_imports_and_functions_stands_for_its_values() {
    let main = format!("local base = import 'lib/base.libsonnet'; {{ gossip: base({GOSSIP}, 100) }}");
    let folder = folder(
        "whole",
        &[
            ("main.jsonnet", &main),
            (
                "lib/base.libsonnet",
                "local more = import 'more.libsonnet'; function(given, period) given + { period_ms: period } + more",
            ),
            ("lib/more.libsonnet", "{ seeds: ['10.0.0.%d:7946' % n for n in std.range(1, 3)] }"),
        ],
    );
    let path = folder.join("main.jsonnet");
    let sheet = OperatorFile::parse(&template::evaluate(&path).unwrap(), &path).unwrap();
    let gossip = sheet.section("gossip").unwrap();
    assert_eq!((gossip.integer("period_ms"), gossip.integer("checks_per_s")), (100, 400));
    assert_eq!(gossip.address_list("seeds").len(), 3);
    assert_eq!(gossip.file_path("key"), Some(folder.join("k")));
    assert_eq!(gossip.address("advertise"), None);
    assert_eq!(sheet.section("log").unwrap().text("level"), "info", "what needs nothing is always there");
    assert_eq!(sheet.unreadable_files().len(), 2);
}

#[test]
fn faults_of_the_language_name_file_line_and_column() {
    let told = fault("syntax", &[("main.jsonnet", "{\n  gossip: {\n    cluster = 'x',\n  },\n}\n")]);
    assert!(told.contains("main.jsonnet:3:13: "), "{told}");
    let told = fault("name", &[("main.jsonnet", "{ log: {\n level: nothing } }")]);
    assert!(told.contains("main.jsonnet:2:9: unknown variable nothing"), "{told}");
    let told = fault("text", &[("main.jsonnet", "{ log: 'x")]);
    assert!(told.contains("main.jsonnet:1:8: unfinished string"), "{told}");
    let told = fault("own", &[("main.jsonnet", "{\n log: error 'no log here' }")]);
    assert!(told.contains("main.jsonnet:2:") && told.contains("no log here"), "{told}");
    let told = fault("import", &[("main.jsonnet", "import 'b.jsonnet'"), ("b.jsonnet", "{\n\n a: }")]);
    assert!(told.contains("b.jsonnet:3:5: "), "{told}");
}

#[test]
fn imports_from_outside_the_own_folder_are_refused() {
    let told = fault("outside", &[("main.jsonnet", "import '../operator-whole/main.jsonnet'")]);
    assert!(told.contains("import ../operator-whole/main.jsonnet"), "{told}");
    let told = fault("absolute", &[("main.jsonnet", "importstr '/etc/passwd'")]);
    assert!(told.contains("allowed are files in the template's own folder"), "{told}");
    let linked = folder("linked", &[("main.jsonnet", "importstr 'link'")]);
    std::os::unix::fs::symlink("/etc/passwd", linked.join("link")).unwrap();
    let told = template::evaluate(&linked.join("main.jsonnet")).unwrap_err();
    assert!(told.contains("allowed are files in the template's own folder"), "{told}");
}

#[test]
fn depth_and_size_are_bounded() {
    let told = fault("deep", &[("main.jsonnet", "local f(n) = 1 + f(n + 1); { log: f(0) }")]);
    assert!(told.contains("stack overflow"), "{told}");
    let told = fault("large", &[("main.jsonnet", &format!("// {}\n{{}}", "x".repeat(300_000)))]);
    assert!(told.contains("allowed are 262144"), "{told}");
}

#[test]
fn faults_of_fields_name_the_path_and_what_is_allowed_all_at_once() {
    let path = PathBuf::from("site.jsonnet");
    let told = OperatorFile::parse(
        r#"{"log": {"format": "xml", "colour": true},
            "gossip": {"cluster": "", "listen": "here", "key": "k", "operator_keys": "none", "period_ms": 20.5},
            "gosip": {}}"#,
        &path,
    );
    let told = told.unwrap_err();
    for line in [
        "site.jsonnet: log.format: \"xml\" given, allowed is one of text, json",
        "site.jsonnet: log.colour: no such field, allowed are format, level",
        "site.jsonnet: gossip.cluster: \"\" given, allowed is text of 1 to 64 bytes",
        "site.jsonnet: gossip.listen: \"here\" given, allowed is an IP address and port",
        "site.jsonnet: gossip.pass: missing, allowed is the path of a file",
        "site.jsonnet: gossip.operator_keys: \"none\" given, allowed is a list of up to 4",
        "site.jsonnet: gossip.period_ms: 20.5 given, allowed is a whole number from 50 to 10000 (milliseconds)",
        "site.jsonnet: gosip: no such section, allowed are log, pace, accord, gossip",
    ] {
        assert!(told.contains(line), "{line}\nnot in\n{told}");
    }
    assert_eq!(told.lines().count(), 8);
    assert!(
        OperatorFile::parse("[]", &path)
            .unwrap_err()
            .contains("a list given, allowed is an object of sections")
    );
}

#[test]
fn every_default_is_allowed_and_the_page_is_the_tables() {
    for field in FIELDS {
        assert!(field.path.contains('.') && !field.description.is_empty(), "{}", field.path);
    }
    let sheet = OperatorFile::parse(
        &format!("{{\"log\": {{}}, \"gossip\": {}}}", json_of(GOSSIP)),
        &PathBuf::from("x"),
    );
    let sheet = sheet.unwrap();
    let unset = ["gossip.advertise", "gossip.revoked", "gossip.order"];
    assert_eq!(sheet.fields().count() + unset.len(), FIELDS.len());
    let page = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operating/fields.md"));
    assert_eq!(
        page.unwrap(),
        page::fields_markdown(),
        "write it anew with: woadhook fields > docs/operating/fields.md"
    );
}

fn json_of(jsonnet: &str) -> String {
    let path = folder("json", &[("main.jsonnet", jsonnet)]).join("main.jsonnet");
    template::evaluate(&path).unwrap()
}
