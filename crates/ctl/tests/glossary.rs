//! The glossary against the words of the code.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

use std::fs;
use std::path::Path;

const GLOSSARY: &str = include_str!("../../../docs/glossary.md");

/// Guards against terms that the code no longer uses, so that readers look for something that does not exist.
#[test]
fn code_uses_every_term() {
    let mut words = String::new();
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for entry in fs::read_dir(crates).unwrap() {
        collect(&entry.unwrap().path().join("src"), &mut words);
    }
    let words = normalize(&words);
    let rows = GLOSSARY.lines().filter_map(|line| line.strip_prefix("| ")?.split_once(" |"));
    let terms: Vec<&str> = rows.skip(1).flat_map(|(cell, _)| cell.split(", ")).collect();
    let unused: Vec<&&str> = terms.iter().filter(|term| !is_used(&words, term)).collect();
    assert!(terms.len() > 40, "{terms:?}");
    assert!(unused.is_empty(), "not in the code: {unused:?}");
}

/// Guards against terms that count as used because a longer word contains them: "heir" in "their".
#[test]
fn only_whole_words_count() {
    let words = normalize("Their batches go to the availability_zone of WorkerPools. Drain (open) pool");
    for used in ["their", "batch", "availability zone", "worker", "pool", "worker pool", "drain", "open"] {
        assert!(is_used(&words, used), "{used}");
    }
    for unused in ["heir", "bat", "ail", "zone availability", "work", "pool drain", "open pool", "rain", ""] {
        assert!(!is_used(&words, unused), "{unused}");
    }
}

/// Guards against terms that are listed twice with two meanings.
#[test]
fn terms_are_unique() {
    let mut terms: Vec<_> =
        GLOSSARY.lines().filter_map(|line| Some(line.strip_prefix("| ")?.split_once(" |")?.0)).collect();
    let count = terms.len();
    terms.sort_unstable();
    terms.dedup();
    assert_eq!(terms.len(), count);
}

/// Returns the words of `text` in lower case, each between single spaces. Identifiers are split at underscores and at
/// capitals, so that `WorkerPool` and `worker_pool` use "worker", "pool" and "worker pool". Punctuation becomes a dot
/// between spaces, so that no sequence of words goes across it.
fn normalize(text: &str) -> String {
    let mut words = String::from(" ");
    let mut previous = ' ';
    for letter in text.chars() {
        let starts_word = letter.is_uppercase() && (previous.is_lowercase() || previous.is_ascii_digit());
        if (starts_word || !letter.is_alphanumeric()) && !words.ends_with(' ') {
            words.push(' ');
        }
        if letter.is_alphanumeric() {
            words.extend(letter.to_lowercase());
        } else if !letter.is_whitespace() && letter != '_' && letter != '-' {
            words.push_str(". ");
        }
        previous = letter;
    }
    words.push(' ');
    words
}

/// Whether `words`, as [`normalize`] returns them, contain the whole words of `term` in sequence, the last one in the
/// singular or the plural.
fn is_used(words: &str, term: &str) -> bool {
    let term = normalize(term);
    let term = term.trim();
    !term.is_empty() && ["", "s", "es"].iter().any(|plural| words.contains(&format!(" {term}{plural} ")))
}

fn collect(folder: &Path, words: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, words);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            words.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}
