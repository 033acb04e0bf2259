//! Finds the table group of a statement.

/// Returns the number after the underscore in the name of the schema that the statement reads or writes.
/// Strings, comments and the schema `staging` are ignored, and so are columns qualified by an alias: a table
/// name follows one of the keywords below, or a comma in a list of tables.
pub fn table_group(statement: &str) -> Option<usize> {
    let words = Words { rest: statement };
    let (mut expects, mut any, mut last, mut listed) = (false, None, None, false);
    for word in words {
        let Word::Name(name) = word else {
            let dot = word == Word::Mark('.');
            // A name followed by a dot is a schema.
            if dot && let Some((schema, table_place)) = last.take() {
                let group = number_behind_underscore(schema);
                if table_place && group.is_some() {
                    return group;
                }
                any = any.or(group);
            }
            expects = word == Word::Mark(',') && listed;
            listed &= word != Word::Mark('(');
            last = None;
            continue;
        };
        last = Some((name, expects));
        let tables = ["from", "join", "into", "update", "table", "using", "copy"];
        let opens = tables.iter().any(|known| name.eq_ignore_ascii_case(known));
        let between = ["only", "lateral", "if", "exists", "not"];
        expects = opens || (expects && between.iter().any(|known| name.eq_ignore_ascii_case(known)));
        let ends = ["where", "group", "order", "set", "values", "select", "on", "having", "limit", "union"];
        listed = opens || (listed && !ends.iter().any(|known| name.eq_ignore_ascii_case(known)));
    }
    any
}

fn number_behind_underscore(schema: &str) -> Option<usize> {
    let (_, digits) = schema.rsplit_once('_')?;
    digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok()).flatten()
}

/// The names and punctuation marks of a statement, without its strings and comments.
struct Words<'a> {
    rest: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Word<'a> {
    Name(&'a str),
    Mark(char),
}

impl<'a> Words<'a> {
    /// Returns the text up to `end`, and removes both from the rest.
    fn cut(&mut self, end: &str) -> &'a str {
        let (inside, rest) = self.rest.split_once(end).unwrap_or((self.rest, ""));
        self.rest = rest;
        inside
    }

    fn skip_comment(&mut self) {
        let mut depth = 0;
        while !self.rest.is_empty() {
            if let Some(rest) = self.rest.strip_prefix("/*") {
                (depth, self.rest) = (depth + 1, rest);
            } else if let Some(rest) = self.rest.strip_prefix("*/") {
                (depth, self.rest) = (depth - 1, rest);
                if depth == 0 {
                    return;
                }
            } else {
                self.rest = &self.rest[self.rest.chars().next().map_or(0, char::len_utf8)..];
            }
        }
    }

    /// Skips a string in which a backslash escapes the next character.
    fn skip_escaped(&mut self) {
        let mut escaped = false;
        let ends = |(_, c): &(usize, char)| {
            let end = *c == '\'' && !escaped;
            escaped = *c == '\\' && !escaped;
            end
        };
        let end = self.rest.char_indices().skip(1).find(ends);
        self.rest = end.map_or("", |(place, _)| &self.rest[place + 1..]);
    }

    /// Skips a dollar-quoted string if one starts here; returns whether one did.
    fn skip_dollars(&mut self) -> bool {
        let Some(end) = self.rest[1..].find('$') else { return false };
        let (tag, body) = self.rest.split_at(end + 2);
        if !tag[1..=end].chars().all(|c| c.is_alphanumeric() || c == '_')
            || tag[1..].starts_with(|c: char| c.is_ascii_digit())
        {
            return false;
        }
        self.rest = body.split_once(tag).map_or("", |(_, rest)| rest);
        true
    }
}

impl<'a> Iterator for Words<'a> {
    type Item = Word<'a>;

    fn next(&mut self) -> Option<Word<'a>> {
        loop {
            self.rest = self.rest.trim_start();
            let first = self.rest.chars().next()?;
            if self.rest.starts_with("--") {
                self.cut("\n");
            } else if self.rest.starts_with("/*") {
                self.skip_comment();
            } else if first == '\'' {
                // A doubled quote inside a string is read as two adjacent strings.
                self.rest = &self.rest[1..];
                self.cut("'");
            } else if first == '"' || first == '`' {
                self.rest = &self.rest[1..];
                return Some(Word::Name(self.cut(if first == '"' { "\"" } else { "`" })));
            } else if first == '$' && self.skip_dollars() {
            } else if first.is_alphanumeric() || first == '_' {
                let in_name = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
                let end = self.rest.find(|c| !in_name(c)).unwrap_or(self.rest.len());
                let (name, rest) = self.rest.split_at(end);
                self.rest = rest;
                if !(name.eq_ignore_ascii_case("e") && rest.starts_with('\'')) {
                    return Some(Word::Name(name));
                }
                self.skip_escaped();
            } else {
                self.rest = &self.rest[first.len_utf8()..];
                return Some(Word::Mark(first));
            }
        }
    }
}
