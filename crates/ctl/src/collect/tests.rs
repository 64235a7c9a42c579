use std::path::PathBuf;

use super::*;

/// Temporary folder, removed on drop.
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let path = std::env::temp_dir().join(format!("eelctl-{name}-{}", std::process::id()));
        for (file, text) in files {
            let file = path.join(file);
            std::fs::create_dir_all(file.parent().unwrap()).unwrap();
            std::fs::write(file, text).unwrap();
        }
        Self { path }
    }

    fn collect(&self) -> Result<Collected, CollectError> {
        collect(std::slice::from_ref(&self.path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

const DRAFTS: &str = r#"{"services":{"drafts":{"default_team":"classers"}}}"#;
const TEAMS: &str = r#"{"teams":{"classers":{"weight":2}}}"#;

#[test]
fn files_of_several_folders_are_merged_into_one_configuration() {
    let files = [
        ("drafts/eelgrasshold.json", DRAFTS),
        ("teams/all.eelgrasshold.json", TEAMS),
    ];
    let folder = Folder::new("merged", &files);
    let collected = folder.collect().unwrap();
    assert_eq!(collected.files.len(), 2);
    assert_eq!(collected.config.teams["classers"].weight, 2);
}

// Guards against a file that silently overrides a definition of another.
#[test]
fn duplicate_name_is_refused() {
    let folder = Folder::new(
        "duplicate",
        &[
            ("a/eelgrasshold.json", TEAMS),
            ("b/eelgrasshold.json", TEAMS),
        ],
    );
    let error = folder.collect().unwrap_err();
    assert!(matches!(error, CollectError::Duplicate { ref name, .. } if name == "teams.classers"));
}

// Guards against silently ignoring a misspelt key.
#[test]
fn unknown_key_is_refused_with_its_path() {
    let text = r#"{"teams":{"classers":{"wieght":2}}}"#;
    let folder = Folder::new("unknown", &[("eelgrasshold.json", text)]);
    let error = folder.collect().unwrap_err().to_string();
    assert!(error.contains("at `teams.classers.wieght`"), "{error}");
}

#[test]
fn invalid_configuration_names_the_file_of_each_problem() {
    let folder = Folder::new("invalid", &[("eelgrasshold.json", DRAFTS)]);
    let error = folder.collect().unwrap_err().to_string();
    assert!(
        error.contains("eelgrasshold.json: services.drafts.default_team"),
        "{error}"
    );
}

#[test]
fn folder_without_matching_files_is_refused() {
    let folder = Folder::new("empty", &[("readme.json", "{}")]);
    assert!(matches!(folder.collect(), Err(CollectError::NoFiles)));
}
