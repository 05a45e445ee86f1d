//! The programs of the deploy file as separate processes, with their settings from its templates.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Fills a template of the deploy folder: `{{name}}`, and sections `{{#name}} .. {{/name}}`.
pub fn filled(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        out.push_str(before);
        let (name, after) = after.split_once("}}").expect("a placeholder has an end");
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let (inner, after) = after.split_once(&close).expect("a section has an end");
            if values.contains_key(section) {
                out.push_str(&filled(inner, values));
            }
            rest = after;
        } else {
            out.push_str(values.get(name).map_or("", String::as_str));
            rest = after;
        }
    }
    out.push_str(rest);
    out
}

/// A process of the product. It ends with its handle.
pub struct Process {
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `words` as the deploy file does, with the settings in a file of the folder.
    pub fn start(name: &str, words: &str, settings: &str, folder: &Path) -> Process {
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let out = File::create(&log).expect("the log can be written");
        let errors = out.try_clone().expect("the log can be shared");
        let mut words = words.split(' ');
        let child = Command::new(words.next().unwrap_or(""))
            .args(words)
            .env("GREENGAGEARCH_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        Process { log, child }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Lines of its log that contain a text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
