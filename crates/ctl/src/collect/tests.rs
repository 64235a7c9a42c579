use std::path::PathBuf;

use super::*;

/// A folder that is removed at the end of its test.
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
fn files_of_several_folders_become_one_configuration() {
    let files = [
        ("drafts/eelgrasshold.json", DRAFTS),
        ("teams/all.eelgrasshold.json", TEAMS),
    ];
    let folder = Folder::new("whole", &files);
    let collected = folder.collect().unwrap();
    assert_eq!(collected.files.len(), 2);
    assert_eq!(collected.config.teams["classers"].weight, 2);
}

// Guards against one file that silently overrides another.
#[test]
fn name_that_is_defined_twice_is_refused() {
    let folder = Folder::new(
        "twice",
        &[
            ("a/eelgrasshold.json", TEAMS),
            ("b/eelgrasshold.json", TEAMS),
        ],
    );
    let error = folder.collect().unwrap_err();
    assert!(matches!(error, CollectError::Twice { ref name, .. } if name == "teams.classers"));
}

// Guards against a misspelt key that is ignored.
#[test]
fn unknown_key_is_refused_with_its_path() {
    let text = r#"{"teams":{"classers":{"wieght":2}}}"#;
    let folder = Folder::new("unknown", &[("eelgrasshold.json", text)]);
    let error = folder.collect().unwrap_err().to_string();
    assert!(error.contains("at `teams.classers.wieght`"), "{error}");
}

#[test]
fn invalid_whole_names_the_file_of_each_problem() {
    let folder = Folder::new("invalid", &[("eelgrasshold.json", DRAFTS)]);
    let error = folder.collect().unwrap_err().to_string();
    assert!(
        error.contains("eelgrasshold.json: services.drafts.default_team"),
        "{error}"
    );
}

#[test]
fn folder_without_files_is_refused() {
    let folder = Folder::new("empty", &[("readme.json", "{}")]);
    assert!(matches!(folder.collect(), Err(CollectError::Nothing)));
}
