//! Checks that the figures of `docs/CAPACITY.md` are consistent and agree with the measurements: its tables
//! are parsed, and each row is checked against its limit, its source and the repository's files. Sample
//! tables with one wrong cell each show that the checks find such a fault.

mod checks;
mod page;
mod record;

use std::fs;

use checks::{Fault, PageCheck, Problem};
use page::{CellError, Kind, Page, Verdict};
use record::{Record, contains_number, points, slopes};

const SAMPLE_PAGE: &str = "
| size | value | worked out as |
| --- | --- | --- |
| routers | 1,800 | given |
| engines | 2,400 | given |
| clients | 11,000,000 | given |
| clients a router | 6,111 | clients / routers |
| pairs | 4,320,000 | routers x engines |

| limit on | value | unit | where from |
| --- | --- | --- | --- |
| memory of a router | 131,072 | KB | assumed |
| bytes of its control | 3,000 | bytes a second | given |

| run | command |
| --- | --- |
| engines | `cargo run --release -p woadhook-standins --example scale -- engines` |
| clients | `cargo run --release -p woadhook-standins --example scale -- clients` |
| Gossip | `cargo run --release -p woadhook-standins --example gossip_scale -- 400` |

| axis | size | measure | unit | value |
| --- | --- | --- | --- | --- |
| engines | 2,400 | memory | KB | 6,200 |

| role | kind | what | slope | unit | size | of what | fixed | at the target | limit | verdict | mechanism | source |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
| router | memory | lines of engines | 0.5 | KB | 2,400 | engines | 5,000 | 6,200 | 131,072 | under | list, `src/logic.rs` | slopes.csv: engines/memory |
| router | memory | connections | 20 | KB | 6,111 | clients a router | 6,000 | 128,220 | 131,072 | under | rooms, `crates/router/src/memory.rs` | slopes.csv: clients/memory |
| router | memory | in all | - | KB | - | - | 6,000 | 129,420 | 131,072 | under | rooms, `crates/router/src/memory.rs` | sum: router, lines of engines + router, connections |
| control part | messages | gossip | 0 | bytes a second | 1,800 | routers | 4,937 | 4,937 | 3,000 | over | missing: a slower pace | results.md: Gossip |
| control part | messages | gossip of all | 4,937 | bytes a second | 1,800 | routers | 0 | 8,886,600 | - | no limit | pace, `crates/gossip/src/budget.rs` | row: control part, gossip |
| engine | state | datagrams' room | 1,200 | bytes | 1,800 | routers | 0 | 2,160,000 | - | no limit | `crates/gossip/src/wire.rs` | code: `crates/gossip/src/wire.rs` MAX_DATAGRAM_BYTES |
| engine | memory | as a router's | 6,200 | KB | 1,800 | routers | 0 | 11,160,000 | - | no limit | `src/records.rs` | point: engines/2,400/memory |
| client | memory | its own | - | KB | - | - | - | - | - | not measured | missing: a client of the project's own | not measured: clients are the users' |
";

const SAMPLE_SLOPES: &str = "axis,measure,unit,slope,intercept,residual,points
engines,memory,KB,0.5004,4998.2,3.1,5
clients,memory,KB,20.01,6000,3.1,5
";

const SAMPLE_POINTS: &str = "axis,size,measure,unit,value,runs
engines,80,memory,KB,5040.0,3
engines,2400,memory,KB,6200.0,3
";

fn sample_record() -> Record {
    let results = "# Results\n\n## Slow peers\n\n| 3 | 4,938 |\n\n## Gossip\n\n| calm | 4,937 (so much) |\n\n## Simulated\n";
    Record {
        slopes: slopes(SAMPLE_SLOPES),
        points: points(SAMPLE_POINTS),
        results: results.to_owned(),
        ..Record::load()
    }
}

fn faults(text: &str) -> Vec<Fault> {
    let (page, record) = (Page::parse(text).unwrap(), sample_record());
    PageCheck { page: &page, record: &record }.faults()
}

/// The sample page with one cell changed; `from` must occur exactly once.
fn with_cell_changed(from: &str, to: &str) -> String {
    assert_eq!(SAMPLE_PAGE.matches(from).count(), 1, "'{from}'");
    SAMPLE_PAGE.replace(from, to)
}

/// The first problem that is found after a cell is changed.
fn first_problem(from: &str, to: &str) -> Problem {
    faults(&with_cell_changed(from, to)).into_iter().next().expect("a fault").problem
}

fn cell_error(from: &str, to: &str) -> CellError {
    Page::parse(&with_cell_changed(from, to)).expect_err("a cell that can't be parsed")
}

fn repository_page() -> String {
    fs::read_to_string(Record::load().root.join("docs/CAPACITY.md")).unwrap()
}

fn format_faults(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn the_page_agrees_with_the_measurements() {
    let page = Page::parse(&repository_page()).unwrap_or_else(|cell_error| panic!("{cell_error}"));
    let record = Record::load();
    let checked = PageCheck { page: &page, record: &record };
    let faults = checked.faults();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), format_faults(&faults));
}

#[test]
fn the_page_has_all_rows_of_each_role_and_failure() {
    let page = Page::parse(&repository_page()).unwrap_or_else(|cell_error| panic!("{cell_error}"));
    let record = Record::load();
    let gaps = PageCheck { page: &page, record: &record }.gaps();
    assert!(gaps.is_empty(), "{} gaps:\n{}", gaps.len(), format_faults(&gaps));
}

/// Guards against checks that skip a row: raises the value at the target by a fiftieth in one row after
/// another. This value depends on all other figures of the row.
#[test]
fn a_changed_figure_in_any_row_of_the_page_is_found() {
    const AT_TARGET_COLUMN: usize = 9;
    const RAISE_FACTOR: f64 = 1.02;
    let text = repository_page();
    let unchanged = count_faults(&text);
    let rows = text.lines().filter(|line| page::ROW_GROUPS.iter().any(|group| is_row_of(line, group.names)));
    for line in rows {
        let mut cells: Vec<&str> = line.split('|').collect();
        let Some(figure) = page::parse_number(cells[AT_TARGET_COLUMN].trim()).filter(|figure| *figure != 0.0)
        else {
            continue;
        };
        let raised = (figure * RAISE_FACTOR).to_string();
        cells[AT_TARGET_COLUMN] = &raised;
        let changed_text = text.replacen(line, &cells.join("|"), 1);
        assert!(count_faults(&changed_text) > unchanged, "{line}");
    }
}

fn count_faults(text: &str) -> usize {
    let page = Page::parse(text).unwrap_or_else(|cell_error| panic!("{cell_error}"));
    PageCheck { page: &page, record: &Record::load() }.faults().len()
}

fn is_row_of(line: &str, names: &[&str]) -> bool {
    names.iter().any(|name| line.starts_with(&format!("| {name} |")))
}

#[test]
fn the_sample_page_has_no_fault() {
    assert_eq!(faults(SAMPLE_PAGE), []);
}

#[test]
fn a_wrong_sum_is_found() {
    assert_eq!(
        first_problem("| 5,000 | 6,200 |", "| 5,000 | 6,300 |"),
        Problem::Arithmetic { written: 6300.0, calculated: 6200.0 }
    );
    assert!(matches!(first_problem("| 129,420 |", "| 128,000 |"), Problem::Arithmetic { .. }));
    assert!(matches!(first_problem("| 8,886,600 |", "| 8,800,000 |"), Problem::Arithmetic { .. }));
    assert!(matches!(
        first_problem("- | - | 6,000 | 129,420", "- | - | 5,000 | 128,420"),
        Problem::Arithmetic { .. }
    ));
}

#[test]
fn a_wrong_size_is_found() {
    let problem = first_problem("| 6,111 | clients / routers |", "| 6,200 | clients / routers |");
    assert!(matches!(problem, Problem::Arithmetic { written: 6200.0, .. }));
    assert!(matches!(first_problem("| 4,320,000 |", "| 4,200,000 |"), Problem::Arithmetic { .. }));
    assert_eq!(
        first_problem("| KB | 2,400 | engines", "| KB | 2,500 | engines"),
        Problem::SizeMismatch { written: 2500.0, listed: 2400.0 }
    );
    assert_eq!(
        first_problem("| KB | 2,400 | engines", "| KB | 2,400 | engine"),
        Problem::UnknownSize("engine".to_owned())
    );
    assert_eq!(
        first_problem("| 1,800 | given |", "| 1,800 | known |"),
        Problem::UnknownSize("known".to_owned())
    );
}

#[test]
fn a_wrong_verdict_is_found() {
    let over = first_problem("| 6,200 | 131,072 | under |", "| 6,200 | 131,072 | over |");
    assert_eq!(over, Problem::WrongVerdict { written: Verdict::Over, calculated: Verdict::Under });
    let under = first_problem("| 3,000 | over |", "| 3,000 | under |");
    assert_eq!(under, Problem::WrongVerdict { written: Verdict::Under, calculated: Verdict::Over });
    assert!(matches!(
        first_problem("| - | - | not measured | missing", "| - | - | under | missing"),
        Problem::WrongVerdict { .. }
    ));
}

#[test]
fn a_limit_that_is_not_listed_is_found() {
    let problem = first_problem("| 6,200 | 131,072 |", "| 6,200 | 140,000 |");
    assert_eq!(problem, Problem::UnknownLimit { value: 140_000.0, unit: "KB".to_owned() });
}

#[test]
fn a_mechanism_that_does_not_exist_is_found() {
    assert_eq!(
        first_problem("`src/logic.rs`", "`src/magic.rs`"),
        Problem::NoSuchFile("src/magic.rs".to_owned())
    );
    assert_eq!(first_problem("list, `src/logic.rs`", "list"), Problem::NoMechanism);
    assert_eq!(first_problem("missing: a slower pace", "missing: "), Problem::OverWithoutMissingMechanism);
    assert_eq!(
        first_problem("missing: a slower pace", "pace, `src/logic.rs`"),
        Problem::OverWithoutMissingMechanism
    );
}

#[test]
fn a_figure_that_differs_from_the_measured_one_is_found() {
    let slope = first_problem(
        "| 0.5 | KB | 2,400 | engines | 5,000 | 6,200 |",
        "| 0.6 | KB | 2,400 | engines | 5,000 | 6,440 |",
    );
    assert_eq!(slope, Problem::DiffersFromMeasured { column: "slope", written: 0.6, measured: 0.5004 });
    let fixed = first_problem("| engines | 5,000 | 6,200 |", "| engines | 5,200 | 6,400 |");
    assert_eq!(fixed, Problem::DiffersFromMeasured { column: "fixed", written: 5200.0, measured: 4998.2 });
    assert!(matches!(first_problem("engines/memory", "engines/memories"), Problem::UnknownSlope { .. }));
    let unit = first_problem(
        "0.5 | KB | 2,400 | engines | 5,000 | 6,200 | 131,072 | under",
        "0.5 | MB | 2,400 | engines | 5,000 | 6,200 | - | no limit",
    );
    assert_eq!(unit, Problem::UnitMismatch { written: "MB".to_owned(), measured: "KB".to_owned() });
}

#[test]
fn a_point_that_differs_from_the_measured_one_is_found() {
    let problem = first_problem("| memory | KB | 6,200 |", "| memory | KB | 6,300 |");
    assert_eq!(problem, Problem::DiffersFromMeasured { column: "value", written: 6300.0, measured: 6200.0 });
    let problem = first_problem(
        "6,200 | KB | 1,800 | routers | 0 | 11,160,000",
        "6,300 | KB | 1,800 | routers | 0 | 11,340,000",
    );
    assert_eq!(problem, Problem::DiffersFromMeasured { column: "slope", written: 6300.0, measured: 6200.0 });
    assert_eq!(first_problem("engines/2,400/memory", "engines/2,500/memory"), Problem::UnknownPoint);
    assert_eq!(
        first_problem("| engines | 2,400 | memory |", "| engines | 2,500 | memory |"),
        Problem::UnknownPoint
    );
    let problem = first_problem("| memory | KB | 6,200 |", "| memory | MB | 6,200 |");
    assert_eq!(problem, Problem::UnitMismatch { written: "MB".to_owned(), measured: "KB".to_owned() });
}

#[test]
fn a_figure_that_is_not_recorded_is_found() {
    let problem = first_problem("| routers | 4,937 | 4,937 |", "| routers | 4,938 | 4,938 |");
    assert_eq!(problem, Problem::NotRecorded { heading: "Gossip".to_owned(), figure: 4938.0 });
    assert_eq!(
        first_problem("results.md: Gossip", "results.md: Gosip"),
        Problem::UnknownHeading("Gosip".to_owned())
    );
    let problem = first_problem("row: control part, gossip", "row: control part, talk");
    assert_eq!(problem, Problem::UnknownRow("control part, talk".to_owned()));
    assert!(matches!(
        first_problem("wire.rs` MAX_DATAGRAM_BYTES", "wire.rs` LETTER"),
        Problem::NameNotInFile { .. }
    ));
}

#[test]
fn a_figure_without_a_run_is_found() {
    let problem = first_problem("| client | memory | its own | - |", "| client | memory | its own | 3 |");
    assert_eq!(problem, Problem::UnmeasuredFigure("slope"));
    assert_eq!(first_problem("not measured: clients are the users'", "not measured: "), Problem::NoArgument);
    assert_eq!(first_problem("| 0.5 | KB | 2,400", "| - | KB | 2,400"), Problem::MissingFigure("slope"));
    assert_eq!(first_problem("| Gossip |", "| Gossips |"), Problem::NoCommand("Gossip".to_owned()));
}

#[test]
fn a_duplicate_row_is_found() {
    assert_eq!(
        first_problem("| router | memory | connections |", "| router | memory | lines of engines |"),
        Problem::DuplicateRow
    );
}

#[test]
fn a_missing_row_is_found() {
    let (page, record) = (Page::parse(SAMPLE_PAGE).unwrap(), sample_record());
    let gaps = PageCheck { page: &page, record: &record }.gaps();
    let gap = |subject: &str, kind| Fault { row: subject.to_owned(), problem: Problem::MissingKind(kind) };
    assert!(gaps.contains(&gap("router", Kind::ProcessorTime)));
    assert!(gaps.contains(&gap("rack", Kind::Refusals)));
    assert!(!gaps.contains(&gap("router", Kind::Memory)));
}

#[test]
fn a_cell_that_cannot_be_parsed_is_named_with_its_row() {
    let problem = cell_error("| 5,000 | 6,200 |", "| 5,000 | some |");
    assert_eq!((problem.column, problem.cell.as_str()), ("at the target", "some"));
    assert_eq!(problem.row, "router, memory, lines of engines");
    assert_eq!(cell_error("| client | memory |", "| customer | memory |").column, "role");
    assert_eq!(cell_error("| client | memory |", "| client | memories |").column, "kind");
    assert_eq!(cell_error("| 3,000 | over |", "| 3,000 | above |").column, "verdict");
    assert_eq!(cell_error("results.md: Gossip", "Gossip").column, "source");
}

#[test]
fn a_recorded_figure_is_not_matched_inside_another_number() {
    assert!(contains_number("| 10.0 | 4,937 (cards)", 4937.0));
    assert!(contains_number("takes 0.26 KB.", 0.26));
    assert!(!contains_number("| 14,937 |", 4937.0));
}
