//! The Markdown page of all fields, made from the table that checks them.

use crate::operator_file::describe_allowed;
use crate::table::{FIELDS, SECTIONS};

/// Returns the page as Markdown.
pub fn fields_markdown() -> String {
    let mut page = String::from(
        "# Fields of the operator file\n\nMade by `woadhook fields` from the table that checks them. The file is \
         Jsonnet (JSON is valid Jsonnet); `woadhook check --operator FILE` checks it and says what is set.\n",
    );
    for (section, purpose) in SECTIONS {
        page.push_str(&format!(
            "\n## {section}\n\n{purpose}\n\n| field | allowed | default | |\n| --- | --- | --- | --- |\n"
        ));
        for field in FIELDS.iter().filter(|field| field.section() == *section) {
            let default = match field.default {
                None => "required".to_owned(),
                Some("null") => "none".to_owned(),
                Some(value) => format!("`{value}`"),
            };
            let line = format!(
                "| `{}` | {} | {default} | {} |\n",
                field.name(),
                describe_allowed(field),
                field.description
            );
            page.push_str(&line);
        }
    }
    page
}
