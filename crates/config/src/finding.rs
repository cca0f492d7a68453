//! Findings: what is wrong in a file, where, and what to do.

use std::ops::Range;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct FileFinding {
    /// What is wrong.
    pub message: String,
    /// Where.
    #[label("here")]
    pub place: SourceSpan,
    /// What to do.
    #[help]
    pub help: String,
}

/// Everything that is wrong in a file.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{file}: {} finding{}", findings.len(), if findings.len() == 1 { "" } else { "s" })]
pub struct FileFindings {
    /// Name of the file.
    pub file: String,
    /// Its text.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// The findings, in order of their place.
    #[related]
    pub findings: Vec<FileFinding>,
}

impl FileFindings {
    /// A line for each finding: `file:line: message (help)`.
    pub fn lines(&self) -> Vec<String> {
        let text = self.source_text.inner();
        let line = |finding: &FileFinding| {
            let offset = finding.place.offset().min(text.len());
            let number = text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count();
            format!("{}:{}: {} ({})", self.file, number + 1, finding.message, finding.help)
        };
        self.findings.iter().map(line).collect()
    }
}

/// Collects findings of one file.
#[derive(Debug, Default)]
pub struct FindingList {
    findings: Vec<FileFinding>,
}

impl FindingList {
    /// Adds a finding at `place`.
    pub fn add(
        &mut self,
        place: Range<usize>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let finding =
            FileFinding { message: message.into(), place: place.into(), help: help.into() };
        self.findings.push(finding);
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The report on `file`.
    pub fn report(mut self, file: &str, text: &str) -> FileFindings {
        self.findings.sort_by_key(|finding| (finding.place.offset(), finding.message.clone()));
        FileFindings {
            file: file.to_owned(),
            source_text: NamedSource::new(file, text.to_owned()),
            findings: self.findings,
        }
    }
}
