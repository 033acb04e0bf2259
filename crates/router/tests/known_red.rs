//! What CI passes over: tests, each with its cause and issue, and none that does not exist; cases of the soak are printed with them.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

fn passed_over(lines: &str) -> Result<String, String> {
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
fn just_the_named_tests_are_passed_over() {
    assert_eq!(passed_over("").unwrap(), "");
    assert_eq!(passed_over("one; a cause; 30\n\na::two ; another; 31\n").unwrap(), "one\na::two\n");
}

#[test]
fn a_case_of_the_soak_is_told_and_passes_over_no_test() {
    let case = "soak cargo run --example soak -- --seeds 7..8; 7; a job got no answer; 42\n";
    assert_eq!(passed_over(&format!("{case}one; a cause; 30\n")).unwrap(), "one\n");
    for (wrong, why) in [
        ("soak cargo run; 7; 42\n", "'soak COMMAND; SEED; WHAT WAS SEEN; ISSUE'"),
        ("soak cargo run; seven; a job got no answer; 42\n", "the seed is no number"),
        ("soak cargo run; 7; a job got no answer; soon\n", "no issue's number"),
    ] {
        assert!(passed_over(wrong).unwrap_err().contains(why), "{wrong}");
    }
}

#[test]
fn a_name_that_is_none_or_stands_twice_and_a_line_without_cause_fail() {
    let line = |name: &str| format!("{name}; a cause; 30\n");
    let four: String = ["one", "a::two", "three", "four"].map(line).concat();
    assert_eq!(passed_over(&four).unwrap().lines().count(), 4);
    assert!(passed_over(&line("two")).unwrap_err().contains("no test two"));
    assert!(passed_over(&line("one").repeat(2)).unwrap_err().contains("twice: one"));
    assert!(passed_over("one; 30\n").unwrap_err().contains("'TEST; CAUSE; ISSUE'"));
    assert!(passed_over("one; ; 30\n").unwrap_err().contains("an empty part"));
    assert!(passed_over("one; a cause; thirty\n").unwrap_err().contains("no issue's number"));
}
