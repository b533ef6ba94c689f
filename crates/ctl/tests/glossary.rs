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
    let words = words.to_lowercase();
    let rows = GLOSSARY.lines().filter_map(|line| line.strip_prefix("| ")?.split_once(" |"));
    let terms: Vec<&str> = rows.skip(1).flat_map(|(cell, _)| cell.split(", ")).collect();
    let unused: Vec<&&str> = terms.iter().filter(|term| !words.contains(**term)).collect();
    assert!(terms.len() > 40, "{terms:?}");
    assert!(unused.is_empty(), "not in the code: {unused:?}");
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
