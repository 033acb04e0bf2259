//! Tests of the operator file: which files are valid, and which errors are reported for others.

use std::fs;
use std::path::PathBuf;

use woadhook_operator::{FIELDS, OperatorFile, page, template};

/// Creates a separate folder for a test case, with these files in it.
fn folder(case: &str, files: &[(&str, &str)]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{case}"));
    let _ = fs::remove_dir_all(&folder);
    for (name, text) in files {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
    folder
}

fn evaluation_error(case: &str, files: &[(&str, &str)]) -> String {
    template::evaluate(&folder(case, files).join("main.jsonnet")).unwrap_err()
}

const GOSSIP: &str = r#"{cluster: "c", listen: "127.0.0.1:7946", key: "k", pass: "p", operator_keys: []}"#;

#[test]
fn template_with_imports_and_functions_is_evaluated() {
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
    let file = OperatorFile::parse(&template::evaluate(&path).unwrap(), &path).unwrap();
    let gossip = file.section("gossip").unwrap();
    assert_eq!((gossip.integer("period_ms"), gossip.integer("checks_per_s")), (100, 400));
    assert_eq!(gossip.address_list("seeds").len(), 3);
    assert_eq!(gossip.file_path("key"), Some(folder.join("k")));
    assert_eq!(gossip.address("advertise"), None);
    assert_eq!(
        file.section("log").unwrap().text("level"),
        "info",
        "a section without required fields is always present"
    );
    assert_eq!(file.unreadable_files().len(), 2);
}

#[test]
fn language_errors_name_file_line_and_column() {
    let error =
        evaluation_error("syntax", &[("main.jsonnet", "{\n  gossip: {\n    cluster = 'x',\n  },\n}\n")]);
    assert!(error.contains("main.jsonnet:3:13: "), "{error}");
    let error = evaluation_error("name", &[("main.jsonnet", "{ log: {\n level: nothing } }")]);
    assert!(error.contains("main.jsonnet:2:9: unknown variable nothing"), "{error}");
    let error = evaluation_error("text", &[("main.jsonnet", "{ log: 'x")]);
    assert!(error.contains("main.jsonnet:1:8: unfinished string"), "{error}");
    let error = evaluation_error("own", &[("main.jsonnet", "{\n log: error 'no log here' }")]);
    assert!(error.contains("main.jsonnet:2:") && error.contains("no log here"), "{error}");
    let error =
        evaluation_error("import", &[("main.jsonnet", "import 'b.jsonnet'"), ("b.jsonnet", "{\n\n a: }")]);
    assert!(error.contains("b.jsonnet:3:5: "), "{error}");
}

#[test]
fn imports_outside_the_template_folder_are_refused() {
    let error = evaluation_error("outside", &[("main.jsonnet", "import '../operator-whole/main.jsonnet'")]);
    assert!(error.contains("import ../operator-whole/main.jsonnet"), "{error}");
    let error = evaluation_error("absolute", &[("main.jsonnet", "importstr '/etc/passwd'")]);
    assert!(error.contains("allowed are files in the template's own folder"), "{error}");
    let linked = folder("linked", &[("main.jsonnet", "importstr 'link'")]);
    std::os::unix::fs::symlink("/etc/passwd", linked.join("link")).unwrap();
    let error = template::evaluate(&linked.join("main.jsonnet")).unwrap_err();
    assert!(error.contains("allowed are files in the template's own folder"), "{error}");
}

#[test]
fn stack_depth_and_file_size_are_limited() {
    let error = evaluation_error("deep", &[("main.jsonnet", "local f(n) = 1 + f(n + 1); { log: f(0) }")]);
    assert!(error.contains("stack overflow"), "{error}");
    let error = evaluation_error("large", &[("main.jsonnet", &format!("// {}\n{{}}", "x".repeat(300_000)))]);
    assert!(error.contains("allowed are 262144"), "{error}");
}

#[test]
fn all_field_errors_are_reported_with_path_and_allowed_values() {
    let path = PathBuf::from("site.jsonnet");
    let error = OperatorFile::parse(
        r#"{"log": {"format": "xml", "colour": true},
            "gossip": {"cluster": "", "listen": "here", "key": "k", "operator_keys": "none", "period_ms": 20.5},
            "gosip": {}}"#,
        &path,
    );
    let error = error.unwrap_err();
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
        assert!(error.contains(line), "{line}\nnot in\n{error}");
    }
    assert_eq!(error.lines().count(), 8);
    assert!(
        OperatorFile::parse("[]", &path)
            .unwrap_err()
            .contains("a list given, allowed is an object of sections")
    );
}

#[test]
fn every_default_is_valid_and_the_page_matches_the_table() {
    for field in FIELDS {
        assert!(field.path.contains('.') && !field.description.is_empty(), "{}", field.path);
    }
    let file = OperatorFile::parse(
        &format!("{{\"log\": {{}}, \"gossip\": {}}}", json_of(GOSSIP)),
        &PathBuf::from("x"),
    );
    let file = file.unwrap();
    let unset = ["gossip.advertise", "gossip.revoked", "gossip.order"];
    assert_eq!(file.fields().count() + unset.len(), FIELDS.len());
    let page = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operating/fields.md"));
    assert_eq!(
        page.unwrap(),
        page::fields_markdown(),
        "regenerate it with: woadhook fields > docs/operating/fields.md"
    );
}

fn json_of(jsonnet: &str) -> String {
    let path = folder("json", &[("main.jsonnet", jsonnet)]).join("main.jsonnet");
    template::evaluate(&path).unwrap()
}
