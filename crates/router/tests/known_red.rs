//! The script that reads KNOWN-RED.txt accepts only entries with a cause and an issue, rejects tests that
//! don't exist, and prints entries of the soak without skipping a test for them.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

fn skipped_tests(lines: &str) -> Result<String, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{}", lines.len()));
    std::fs::write(&file, lines).unwrap();
    let mut command = Command::new(root.join(".ci/known-red"));
    command.arg(&file).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(b"one\na::two\nthree\nfour\n").unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    if output.status.success() { Ok(text(output.stdout)) } else { Err(text(output.stderr)) }
}

#[test]
fn only_the_listed_tests_are_skipped() {
    assert_eq!(skipped_tests("").unwrap(), "");
    assert_eq!(skipped_tests("one; a cause; 30\n\na::two ; another; 31\n").unwrap(), "one\na::two\n");
}

#[test]
fn a_soak_entry_skips_no_test() {
    let soak_entry = "soak cargo run --example soak -- --seeds 7..8; 7; a job got no answer; 42\n";
    assert_eq!(skipped_tests(&format!("{soak_entry}one; a cause; 30\n")).unwrap(), "one\n");
    for (invalid, expected) in [
        ("soak cargo run; 7; 42\n", "'soak COMMAND; SEED; WHAT WAS SEEN; ISSUE'"),
        ("soak cargo run; seven; a job got no answer; 42\n", "the seed is no number"),
        ("soak cargo run; 7; a job got no answer; soon\n", "no issue's number"),
    ] {
        assert!(skipped_tests(invalid).unwrap_err().contains(expected), "{invalid}");
    }
}

#[test]
fn unknown_and_repeated_tests_and_incomplete_entries_are_rejected() {
    let entry = |name: &str| format!("{name}; a cause; 30\n");
    let four: String = ["one", "a::two", "three", "four"].map(entry).concat();
    assert_eq!(skipped_tests(&four).unwrap().lines().count(), 4);
    assert!(skipped_tests(&entry("two")).unwrap_err().contains("no test two"));
    assert!(skipped_tests(&entry("one").repeat(2)).unwrap_err().contains("twice: one"));
    assert!(skipped_tests("one; 30\n").unwrap_err().contains("'TEST; CAUSE; ISSUE'"));
    assert!(skipped_tests("one; ; 30\n").unwrap_err().contains("an empty part"));
    assert!(skipped_tests("one; a cause; thirty\n").unwrap_err().contains("no issue's number"));
}
