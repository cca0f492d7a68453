//! Findings in a file: the problem, its place and the remedy.

use std::ops::Range;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct FileFinding {
    /// The problem.
    pub message: String,
    /// Its place in the file.
    #[label("here")]
    pub place: SourceSpan,
    /// The remedy.
    #[help]
    pub help: String,
}

/// All findings in a file.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{file}: {} finding{}", findings.len(), if findings.len() == 1 { "" } else { "s" })]
pub struct FileFindings {
    /// Name of the file.
    pub file: String,
    /// Text of the file.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// The findings, in order of their place.
    #[related]
    pub findings: Vec<FileFinding>,
}

impl FileFindings {
    /// Formats each finding as a line: `file:line: message (help)`.
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
    /// Adds a finding at the byte range `place`.
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

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Sorts the findings by place and returns them with the file's name and text.
    pub fn report(mut self, file: &str, text: &str) -> FileFindings {
        self.findings.sort_by_key(|finding| (finding.place.offset(), finding.message.clone()));
        FileFindings {
            file: file.to_owned(),
            source_text: NamedSource::new(file, text.to_owned()),
            findings: self.findings,
        }
    }
}
