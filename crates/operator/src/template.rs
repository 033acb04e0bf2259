//! Evaluates a Jsonnet template, which may import files from its own folder and below only.

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

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 * 1024;
/// The most files of one evaluation, the template among them.
pub const MAX_FILES: usize = 64;
/// How deep calls and fields may lie in one another.
const STACK: usize = 200;

/// The JSON that the template stands for, on one line. A fault names file, line and column.
pub fn evaluate(path: &Path) -> Result<String, String> {
    let arena = Arena::new();
    let mut program = Program::new(&arena);
    program.set_max_stack(STACK);
    let shown = path.display().to_string();
    let path = path.canonicalize().map_err(|error| format!("{shown}: {error}"))?;
    let folder = path.parent().unwrap_or(Path::new("/")).to_path_buf();
    let mut files = Files { folder, read: Vec::new(), loaded: HashMap::new(), fault: None };
    let root = files.load(&mut program, &path, shown)?;
    let value = program.eval_value(&root, &mut files);
    let value = value.map_err(|error| files.evaluation_fault(&program, &error))?;
    // Fields are evaluated by now only as far as the value's outside; the rest comes with the manifest.
    manifest(&mut program, &mut files, value)
}

/// Evaluates all that a value holds, with imports at hand, before it is written out.
fn manifest<'p>(
    program: &mut Program<'p>, files: &mut Files<'p>, value: Value<'p>,
) -> Result<String, String> {
    let wrapped = "function(value) std.manifestJsonMinified(value)";
    let (context, _) = program.span_manager_mut().insert_source_context(wrapped.len());
    files.read.push((context, "(result)".to_owned(), wrapped.as_bytes().to_vec()));
    let function = program
        .load_source(context, wrapped.as_bytes(), true, "(result)")
        .map_err(|error| files.load_fault(program, &error))?;
    let argument = program.value_to_thunk(&value);
    let text = program.eval_call(&function, &[argument], &[], files);
    let text = text.map_err(|error| files.evaluation_fault(program, &error))?;
    text.to_string().ok_or_else(|| "the template stands for no value".to_owned())
}

/// The files of one evaluation.
struct Files<'p> {
    folder: PathBuf,
    /// Name and text by the context that the evaluator gave them.
    read: Vec<(SpanContextId, String, Vec<u8>)>,
    loaded: HashMap<PathBuf, Thunk<'p>>,
    /// Why an import failed, which the evaluator itself does not carry.
    fault: Option<String>,
}

impl<'p> Files<'p> {
    fn load(&mut self, program: &mut Program<'p>, path: &Path, shown: String) -> Result<Thunk<'p>, String> {
        let bytes = self.text(path, &shown)?;
        let (context, _) = program.span_manager_mut().insert_source_context(bytes.len());
        self.read.push((context, shown.clone(), bytes.clone()));
        let thunk = program.load_source(context, &bytes, true, &shown);
        let thunk = thunk.map_err(|error| self.load_fault(program, &error))?;
        self.loaded.insert(path.to_path_buf(), thunk.clone());
        Ok(thunk)
    }

    fn text(&self, path: &Path, shown: &str) -> Result<Vec<u8>, String> {
        if self.read.len() >= MAX_FILES {
            return Err(format!("{shown}: more than {MAX_FILES} files"));
        }
        let length = fs::metadata(path).map_err(|error| format!("{shown}: {error}"))?.len();
        if length > MAX_FILE_BYTES {
            return Err(format!("{shown}: {length} bytes, allowed are {MAX_FILE_BYTES}"));
        }
        fs::read(path).map_err(|error| format!("{shown}: {error}"))
    }

    /// The file that an import means, if it lies in the template's folder or below, links resolved.
    fn resolve(&self, program: &Program<'p>, from: SpanId, path: &str) -> Result<PathBuf, String> {
        let at = self.place(program, from);
        let (context, ..) = program.span_manager().get_span(from);
        let beside = self.read.iter().find(|(known, ..)| *known == context);
        let beside = beside.and_then(|(_, name, _)| Path::new(name).parent().map(Path::to_path_buf));
        let base = beside.and_then(|folder| folder.canonicalize().ok()).unwrap_or(self.folder.clone());
        let found =
            base.join(path).canonicalize().map_err(|error| format!("{at}: import {path}: {error}"))?;
        if !found.starts_with(&self.folder) {
            return Err(format!("{at}: import {path}: allowed are files in the template's own folder"));
        }
        Ok(found)
    }

    fn bytes(&mut self, program: &Program<'p>, from: SpanId, path: &str) -> Result<Vec<u8>, ImportError> {
        let read = self.resolve(program, from, path).and_then(|found| {
            let bytes = self.text(&found, path)?;
            Ok(bytes)
        });
        read.map_err(|fault| self.fail(fault))
    }

    fn fail(&mut self, fault: String) -> ImportError {
        self.fault = Some(fault);
        ImportError
    }

    /// File, line and column of a place in the sources.
    fn place(&self, program: &Program<'p>, span: SpanId) -> String {
        let (context, start, _) = program.span_manager().get_span(span);
        let Some((_, name, text)) = self.read.iter().find(|(known, ..)| *known == context) else {
            return "standard library".to_owned();
        };
        let before = &text[..start.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        format!("{name}:{line}:{column}")
    }

    fn load_fault(&self, program: &Program<'p>, error: &LoadError) -> String {
        let (span, why) = match error {
            LoadError::Lex(error) => lexed(error),
            LoadError::Parse(ParseError::Expected { span, expected, instead }) => {
                let expected: Vec<String> =
                    expected.iter().map(|token| plain(&format!("{token:?}"))).collect();
                let instead = plain(&format!("{instead:?}"));
                (*span, format!("{instead} where one of these is allowed: {}", expected.join(", ")))
            }
            LoadError::Analyze(error) => analyzed(error),
        };
        format!("{}: {why}", self.place(program, span))
    }

    fn evaluation_fault(&mut self, program: &Program<'p>, error: &EvalError) -> String {
        if let Some(fault) = self.fault.take() {
            return fault;
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
        let spans = of_kind(&error.kind).into_iter().chain(error.stack_trace.iter().rev().filter_map(span));
        let mut places = spans.map(|span| self.place(program, span));
        let at = places.find(|place| place != "standard library" && !place.starts_with('('));
        let why = match &error.kind {
            EvalErrorKind::ExplicitError { message, .. } => message.clone(),
            other => plain(&format!("{other:?}")),
        };
        format!("{}: {why}", at.unwrap_or_else(|| "in the template".to_owned()))
    }
}

/// The evaluator's word for a kind of fault, without the numbers of its spans.
fn plain(shown: &str) -> String {
    let word: String = shown.chars().take_while(|c| c.is_alphanumeric()).collect();
    let name = shown.split("name: \"").nth(1).and_then(|rest| rest.split('"').next());
    let mut words = String::new();
    for c in word.chars() {
        if c.is_uppercase() && !words.is_empty() {
            words.push(' ');
        }
        words.extend(c.to_lowercase());
    }
    name.map_or(words.clone(), |name| format!("{words} {name}"))
}

/// Where a fault of evaluation lies, as far as its kind knows.
fn of_kind(kind: &EvalErrorKind) -> Option<SpanId> {
    use EvalErrorKind as Of;
    match kind {
        Of::InvalidIndexedType { span, .. }
        | Of::InvalidSlicedType { span, .. }
        | Of::SliceIndexOrStepIsNotNumber { span, .. }
        | Of::StringIndexIsNotNumber { span, .. }
        | Of::ArrayIndexIsNotNumber { span, .. }
        | Of::NumericIndexIsNotValid { span, .. }
        | Of::NumericIndexOutOfRange { span, .. }
        | Of::ObjectIndexIsNotString { span, .. }
        | Of::RepeatedFieldName { span, .. }
        | Of::FieldNameIsNotString { span, .. }
        | Of::UnknownObjectField { span, .. }
        | Of::FieldOfNonObject { span }
        | Of::SuperWithoutSuperObject { span }
        | Of::ForSpecValueIsNotArray { span, .. }
        | Of::CondIsNotBool { span, .. }
        | Of::InvalidUnaryOpType { span, .. }
        | Of::AssertFailed { span, .. }
        | Of::ExplicitError { span, .. }
        | Of::ImportFailed { span, .. } => Some(*span),
        Of::CalleeIsNotFunction { span, .. }
        | Of::TooManyCallArgs { span, .. }
        | Of::UnknownCallParam { span, .. }
        | Of::RepeatedCallParam { span, .. }
        | Of::CallParamNotBound { span, .. }
        | Of::InvalidBinaryOpTypes { span, .. }
        | Of::NumberNan { span }
        | Of::DivByZero { span }
        | Of::Other { span, .. } => *span,
        _ => None,
    }
}

fn lexed(error: &LexError) -> (SpanId, String) {
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
    (span, plain(&format!("{error:?}")))
}

fn analyzed(error: &AnalyzeError) -> (SpanId, String) {
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
    (span, plain(&format!("{error:?}")))
}

impl<'p> Callbacks<'p> for Files<'p> {
    fn import(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<Thunk<'p>, ImportError> {
        let found = self.resolve(program, from, path).map_err(|fault| self.fail(fault))?;
        if let Some(thunk) = self.loaded.get(&found) {
            return Ok(thunk.clone());
        }
        let shown = found.display().to_string();
        self.load(program, &found, shown).map_err(|fault| self.fail(fault))
    }

    fn import_str(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<String, ImportError> {
        let bytes = self.bytes(program, from, path)?;
        String::from_utf8(bytes).map_err(|error| self.fail(format!("import {path}: {error}")))
    }

    fn import_bin(
        &mut self, program: &mut Program<'p>, from: SpanId, path: &str,
    ) -> Result<Vec<u8>, ImportError> {
        self.bytes(program, from, path)
    }

    fn trace(&mut self, _: &mut Program<'p>, _: &str, _: &[EvalStackTraceItem]) {}

    fn native_call(
        &mut self, _: &mut Program<'p>, _: InternedStr<'p>, _: &[Value<'p>],
    ) -> Result<Value<'p>, NativeError> {
        Err(NativeError)
    }
}
