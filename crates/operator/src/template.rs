//! Evaluates a Jsonnet template, which may import files only from its own folder and the folders below.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

use rsjsonnet_lang::arena::Arena;
use rsjsonnet_lang::interner::InternedStr;
use rsjsonnet_lang::lexer::LexError;
use rsjsonnet_lang::parser::ParseError;
use rsjsonnet_lang::program::{
    AnalyzeError, Callbacks, EvalError, EvalErrorKind, EvalStackTraceItem, ImportError, LoadError,
    NativeError, Program, Thunk, Value,
};
use rsjsonnet_lang::span::{SpanContextId, SpanId};

/// The maximum size of a file in bytes.
pub const MAX_FILE_BYTES: u64 = 256 * 1024;
/// The maximum number of files that one evaluation reads, including the template.
pub const MAX_FILES: usize = 64;
/// The maximum depth of nested calls and fields.
const MAX_STACK_DEPTH: usize = 200;

/// Evaluates a template to JSON on one line. Errors name the file, line and column.
pub fn evaluate(path: &Path) -> Result<String, String> {
    let arena = Arena::new();
    let mut program = Program::new(&arena);
    program.set_max_stack(MAX_STACK_DEPTH);
    let display_name = path.display().to_string();
    let path = path.canonicalize().map_err(|error| format!("{display_name}: {error}"))?;
    let folder = path.parent().unwrap_or(Path::new("/")).to_path_buf();
    let mut files = SourceFiles { folder, sources: Vec::new(), loaded: HashMap::new(), import_error: None };
    let root = files.load(&mut program, &path, display_name)?;
    let value = program.eval_value(&root, &mut files);
    let value = value.map_err(|error| files.describe_eval_error(&program, &error))?;
    // Evaluation is lazy: by now only the outermost value is evaluated, and `manifest` evaluates what it
    // contains.
    manifest(&mut program, &mut files, value)
}

/// Evaluates everything that a value contains, with imports available, and returns it as JSON.
fn manifest<'p>(
    program: &mut Program<'p>, files: &mut SourceFiles<'p>, value: Value<'p>,
) -> Result<String, String> {
    let manifest_source = "function(value) std.manifestJsonMinified(value)";
    let (context, _) = program.span_manager_mut().insert_source_context(manifest_source.len());
    files.sources.push((context, "(result)".to_owned(), manifest_source.as_bytes().to_vec()));
    let function = program
        .load_source(context, manifest_source.as_bytes(), true, "(result)")
        .map_err(|error| files.describe_load_error(program, &error))?;
    let argument = program.value_to_thunk(&value);
    let text = program.eval_call(&function, &[argument], &[], files);
    let text = text.map_err(|error| files.describe_eval_error(program, &error))?;
    text.to_string().ok_or_else(|| "the template has no JSON value".to_owned())
}

/// The files that one evaluation has read. It implements the callbacks for imports.
struct SourceFiles<'p> {
    folder: PathBuf,
    /// The source context that the evaluator assigned to each file, with the file's name and text.
    sources: Vec<(SpanContextId, String, Vec<u8>)>,
    loaded: HashMap<PathBuf, Thunk<'p>>,
    /// Why an import failed. The evaluator's own error does not contain the reason.
    import_error: Option<String>,
}

impl<'p> SourceFiles<'p> {
    fn load(
        &mut self, program: &mut Program<'p>, path: &Path, display_name: String,
    ) -> Result<Thunk<'p>, String> {
        let bytes = self.read_file(path, &display_name)?;
        let (context, _) = program.span_manager_mut().insert_source_context(bytes.len());
        self.sources.push((context, display_name.clone(), bytes.clone()));
        let thunk = program.load_source(context, &bytes, true, &display_name);
        let thunk = thunk.map_err(|error| self.describe_load_error(program, &error))?;
        self.loaded.insert(path.to_path_buf(), thunk.clone());
        Ok(thunk)
    }

    fn read_file(&self, path: &Path, display_name: &str) -> Result<Vec<u8>, String> {
        if self.sources.len() >= MAX_FILES {
            return Err(format!("{display_name}: more than {MAX_FILES} files"));
        }
        let length = fs::metadata(path).map_err(|error| format!("{display_name}: {error}"))?.len();
        if length > MAX_FILE_BYTES {
            return Err(format!("{display_name}: {length} bytes, allowed are {MAX_FILE_BYTES}"));
        }
        fs::read(path).map_err(|error| format!("{display_name}: {error}"))
    }

    /// Finds the file that an import names. With links resolved, it must be in the template's folder or
    /// below.
    fn resolve(&self, program: &Program<'p>, from: SpanId, path: &str) -> Result<PathBuf, String> {
        let at = self.position(program, from);
        let (context, ..) = program.span_manager().get_span(from);
        let importing_file = self.sources.iter().find(|(known, ..)| *known == context);
        let importing_folder =
            importing_file.and_then(|(_, name, _)| Path::new(name).parent().map(Path::to_path_buf));
        let base =
            importing_folder.and_then(|folder| folder.canonicalize().ok()).unwrap_or(self.folder.clone());
        let resolved =
            base.join(path).canonicalize().map_err(|error| format!("{at}: import {path}: {error}"))?;
        if !resolved.starts_with(&self.folder) {
            return Err(format!("{at}: import {path}: allowed are files in the template's own folder"));
        }
        Ok(resolved)
    }

    fn read_import(
        &mut self, program: &Program<'p>, from: SpanId, path: &str,
    ) -> Result<Vec<u8>, ImportError> {
        let contents = self.resolve(program, from, path).and_then(|resolved| {
            let bytes = self.read_file(&resolved, path)?;
            Ok(bytes)
        });
        contents.map_err(|error| self.record_error(error))
    }

    fn record_error(&mut self, error: String) -> ImportError {
        self.import_error = Some(error);
        ImportError
    }

    /// The file, line and column of a position in the sources.
    fn position(&self, program: &Program<'p>, span: SpanId) -> String {
        let (context, start, _) = program.span_manager().get_span(span);
        let Some((_, name, text)) = self.sources.iter().find(|(known, ..)| *known == context) else {
            return "standard library".to_owned();
        };
        let before = &text[..start.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        format!("{name}:{line}:{column}")
    }

    fn describe_load_error(&self, program: &Program<'p>, error: &LoadError) -> String {
        let (span, why) = match error {
            LoadError::Lex(error) => describe_lex_error(error),
            LoadError::Parse(ParseError::Expected { span, expected, instead }) => {
                let expected: Vec<String> =
                    expected.iter().map(|token| error_name(&format!("{token:?}"))).collect();
                let instead = error_name(&format!("{instead:?}"));
                (*span, format!("{instead} found, expected one of: {}", expected.join(", ")))
            }
            LoadError::Analyze(error) => describe_analyze_error(error),
        };
        format!("{}: {why}", self.position(program, span))
    }

    fn describe_eval_error(&mut self, program: &Program<'p>, error: &EvalError) -> String {
        if let Some(error) = self.import_error.take() {
            return error;
        }
        let span = |item: &EvalStackTraceItem| match item {
            EvalStackTraceItem::Expr { span }
            | EvalStackTraceItem::Variable { span, .. }
            | EvalStackTraceItem::Import { span } => Some(*span),
            EvalStackTraceItem::Call { span, .. }
            | EvalStackTraceItem::ArrayItem { span, .. }
            | EvalStackTraceItem::ObjectField { span, .. } => *span,
            _ => None,
        };
        let spans =
            error_span(&error.kind).into_iter().chain(error.stack_trace.iter().rev().filter_map(span));
        let mut positions = spans.map(|span| self.position(program, span));
        // The first position in a file is reported. A name in parentheses is that of the function in
        // `manifest`, "(result)", which is no file.
        let at = positions.find(|position| position != "standard library" && !position.starts_with('('));
        let why = match &error.kind {
            EvalErrorKind::ExplicitError { message, .. } => message.clone(),
            other => error_name(&format!("{other:?}")),
        };
        format!("{}: {why}", at.unwrap_or_else(|| "in the template".to_owned()))
    }
}

/// Converts the `Debug` text of an evaluator's error or token to words: the name of the variant in lower case
/// and, if the variant has a field `name`, its value. All other fields are left out, such as the span ids,
/// which are numbers that only the evaluator can interpret.
fn error_name(debug_text: &str) -> String {
    let type_name: String = debug_text.chars().take_while(|c| c.is_alphanumeric()).collect();
    let name = debug_text.split("name: \"").nth(1).and_then(|rest| rest.split('"').next());
    let mut words = String::new();
    for c in type_name.chars() {
        if c.is_uppercase() && !words.is_empty() {
            words.push(' ');
        }
        words.extend(c.to_lowercase());
    }
    name.map_or(words.clone(), |name| format!("{words} {name}"))
}

/// The location of an evaluation error, if its kind has one.
fn error_span(kind: &EvalErrorKind) -> Option<SpanId> {
    use EvalErrorKind as Kind;
    match kind {
        Kind::InvalidIndexedType { span, .. }
        | Kind::InvalidSlicedType { span, .. }
        | Kind::SliceIndexOrStepIsNotNumber { span, .. }
        | Kind::StringIndexIsNotNumber { span, .. }
        | Kind::ArrayIndexIsNotNumber { span, .. }
        | Kind::NumericIndexIsNotValid { span, .. }
        | Kind::NumericIndexOutOfRange { span, .. }
        | Kind::ObjectIndexIsNotString { span, .. }
        | Kind::RepeatedFieldName { span, .. }
        | Kind::FieldNameIsNotString { span, .. }
        | Kind::UnknownObjectField { span, .. }
        | Kind::FieldOfNonObject { span }
        | Kind::SuperWithoutSuperObject { span }
        | Kind::ForSpecValueIsNotArray { span, .. }
        | Kind::CondIsNotBool { span, .. }
        | Kind::InvalidUnaryOpType { span, .. }
        | Kind::AssertFailed { span, .. }
        | Kind::ExplicitError { span, .. }
        | Kind::ImportFailed { span, .. } => Some(*span),
        Kind::CalleeIsNotFunction { span, .. }
        | Kind::TooManyCallArgs { span, .. }
        | Kind::UnknownCallParam { span, .. }
        | Kind::RepeatedCallParam { span, .. }
        | Kind::CallParamNotBound { span, .. }
        | Kind::InvalidBinaryOpTypes { span, .. }
        | Kind::NumberNan { span }
        | Kind::DivByZero { span }
        | Kind::Other { span, .. } => *span,
        _ => None,
    }
}

fn describe_lex_error(error: &LexError) -> (SpanId, String) {
    let span = match error {
        LexError::InvalidChar { span, .. }
        | LexError::InvalidUtf8 { span, .. }
        | LexError::UnfinishedMultilineComment { span }
        | LexError::LeadingZeroInNumber { span }
        | LexError::MissingFracDigits { span }
        | LexError::MissingExpDigits { span }
        | LexError::MissingDigitAfterUnderscore { span }
        | LexError::ExpOverflow { span }
        | LexError::InvalidEscapeInString { span, .. }
        | LexError::IncompleteUnicodeEscape { span }
        | LexError::InvalidUtf16EscapeSequence { span, .. }
        | LexError::UnfinishedString { span }
        | LexError::MissingLineBreakAfterTextBlockStart { span }
        | LexError::MissingWhitespaceTextBlockStart { span }
        | LexError::InvalidTextBlockTermination { span } => *span,
    };
    (span, error_name(&format!("{error:?}")))
}

fn describe_analyze_error(error: &AnalyzeError) -> (SpanId, String) {
    let span = match error {
        AnalyzeError::UnknownVariable { span, .. }
        | AnalyzeError::TextBlockAsImportPath { span }
        | AnalyzeError::ComputedImportPath { span } => *span,
        AnalyzeError::SelfOutsideObject { self_span } => *self_span,
        AnalyzeError::SuperOutsideObject { super_span } => *super_span,
        AnalyzeError::DollarOutsideObject { dollar_span } => *dollar_span,
        AnalyzeError::RepeatedLocalName { repeated_span, .. }
        | AnalyzeError::RepeatedFieldName { repeated_span, .. }
        | AnalyzeError::RepeatedParamName { repeated_span, .. } => *repeated_span,
        AnalyzeError::PositionalArgAfterNamed { arg_span } => *arg_span,
    };
    (span, error_name(&format!("{error:?}")))
}

impl<'p> Callbacks<'p> for SourceFiles<'p> {
    fn import(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<Thunk<'p>, ImportError> {
        let resolved = self.resolve(program, from, path).map_err(|error| self.record_error(error))?;
        if let Some(thunk) = self.loaded.get(&resolved) {
            return Ok(thunk.clone());
        }
        let display_name = resolved.display().to_string();
        self.load(program, &resolved, display_name).map_err(|error| self.record_error(error))
    }

    fn import_str(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<String, ImportError> {
        let bytes = self.read_import(program, from, path)?;
        String::from_utf8(bytes).map_err(|error| self.record_error(format!("import {path}: {error}")))
    }

    fn import_bin(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<Vec<u8>, ImportError> {
        self.read_import(program, from, path)
    }

    fn trace(&mut self, _: &mut Program<'p>, _: &str, _: &[EvalStackTraceItem]) {}

    fn native_call(
        &mut self, _: &mut Program<'p>, _: InternedStr<'p>, _: &[Value<'p>],
    ) -> Result<Value<'p>, NativeError> {
        Err(NativeError)
    }
}
