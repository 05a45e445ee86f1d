//! The operators' command: checks, applies and shows documents.

pub mod cli;
pub mod evacuations;
pub mod explain;
pub mod report;
pub mod status;

use std::collections::BTreeMap;
use std::time::Duration;

use reqwest::Client;
use reqwest::StatusCode;
use uuid::Uuid;

use crate::cli::read_file;
use crate::ctl::cli::CtlAction;
use crate::ctl::cli::CtlConfig;
use crate::ctl::evacuations::show_evacuations;
use crate::ctl::explain::explain;
use crate::ctl::report::html_report;
use crate::ctl::report::text_report;
use crate::ctl::status::status_text;
use crate::error::Error;
use crate::findings::ConfigFinding;
use crate::findings::FindingList;
use crate::ids::GenerationNumber;
use crate::ids::RevisionNumber;
use crate::process::burn_ledger::ServiceBurn;
use crate::process::clock;
use crate::process::entry::operator_http::ApplyAnswer;
use crate::process::entry::operator_http::ClusterReport;
use crate::process::entry::operator_http::KEY_HEADER;
use crate::process::entry::operator_http::TEAM_HEADER;
use crate::process::entry::status_desk::StatusReport;
use crate::version::catalog::DocumentRow;
use crate::version::document::ServiceDocument;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of one apply whose answer is lost; all carry the same token.
const APPLY_TRIES: usize = 5;
/// Pause between two tries or looks.
const PAUSE: Duration = Duration::from_millis(200);

/// A document read from a file.
struct LoadedDocument {
    document: ServiceDocument,
    text: String,
}

/// Carries a command out.
///
/// # Errors
///
/// All findings in the files; or what the entry answered.
pub async fn run_command(config: &CtlConfig) -> Result<(), Error> {
    match config.action {
        CtlAction::Check => {
            let documents = load(&config.operands)?;
            println!("{} documents, no findings", documents.len());
            Ok(())
        }
        CtlAction::Apply => apply_all(config).await,
        CtlAction::Show => show(config).await,
        CtlAction::ReportBurn => report_burn(config).await,
        CtlAction::Explain => explain_job(&config.operands),
        CtlAction::Evacuations => show_evacuations(&open_client(), &config.planner).await,
    }
}

/// Reads and checks files; findings of all files come together.
/// Explains a job, the first operand, from the logs in the files that follow.
fn explain_job(operands: &[String]) -> Result<(), Error> {
    let (Some(job), logs) = (operands.first(), operands.get(1..).unwrap_or_default()) else {
        return Ok(());
    };
    let texts: Vec<String> = logs.iter().map(|log| read_file(log)).collect::<Result<_, _>>()?;
    print!("{}", explain(job, &texts));
    Ok(())
}

fn load(paths: &[String]) -> Result<Vec<LoadedDocument>, Error> {
    let mut findings = FindingList::default();
    let mut loaded = Vec::new();
    let mut seen: BTreeMap<String, String> = BTreeMap::new();
    for path in paths {
        let text = read_file(path)?;
        match ServiceDocument::parse(path, &text) {
            Ok(document) => {
                if let Some(other) = seen.insert(document.name.clone(), path.clone()) {
                    findings.0.push(ConfigFinding {
                        file: path.clone(),
                        line: 1,
                        key: "service.name".to_string(),
                        message: format!("'{}' is declared in {other} too", document.name),
                    });
                }
                loaded.push(LoadedDocument { document, text });
            }
            Err(found) => findings.0.extend(found.0),
        }
    }
    findings.or_value(loaded).map_err(|findings| Error::Invalid { findings })
}

async fn apply_all(config: &CtlConfig) -> Result<(), Error> {
    let documents = load(&config.operands)?;
    let key = read_file(&config.key_file)?;
    let client = open_client();
    let mut newest = 0;
    for loaded in &documents {
        let accepted = apply_one(&client, config, key.trim(), loaded).await?;
        newest = newest.max(accepted);
    }
    match config.wait {
        Some(limit) if newest > 0 => wait_in_force(&client, &config.entry, newest, limit).await,
        _ => Ok(()),
    }
}

/// Applies one document; gives its generation, or zero when nothing had to change.
async fn apply_one(
    client: &Client,
    config: &CtlConfig,
    key: &str,
    loaded: &LoadedDocument,
) -> Result<GenerationNumber, Error> {
    let name = &loaded.document.name;
    let current = fetch_row(client, &config.entry, name).await?;
    let old = current.as_ref().map_or("", |row| row.text.as_str());
    if old == loaded.text {
        println!("{name}: unchanged");
        return Ok(0);
    }
    print!("{}", difference(old, &loaded.text));
    let base = current.as_ref().map_or(0, DocumentRow::revision);
    let answer = put(client, config, key, loaded, base).await?;
    println!("{name}: revision {} generation {}", answer.revision, answer.generation);
    Ok(answer.generation)
}

/// Sends a change; when the answer is lost it is sent again with the same token, which cannot take
/// effect twice.
async fn put(
    client: &Client,
    config: &CtlConfig,
    key: &str,
    loaded: &LoadedDocument,
    base: RevisionNumber,
) -> Result<ApplyAnswer, Error> {
    let token = Uuid::now_v7();
    let name = &loaded.document.name;
    let entry = &config.entry;
    let url = format!("http://{entry}/v1/documents/{name}?base={base}&token={token}");
    let mut last = "the entry does not answer".to_string();
    for _ in 0..APPLY_TRIES {
        let call = client.put(&url).header(TEAM_HEADER, &config.team).header(KEY_HEADER, key);
        match call.body(loaded.text.clone()).send().await {
            Err(error) => last = format!("the entry does not answer: {error}"),
            Ok(answer) => {
                let status = answer.status();
                let body: Option<ApplyAnswer> = answer.json().await.ok();
                let message = body.as_ref().map(|body| body.error.clone()).unwrap_or_default();
                match (status, body) {
                    (StatusCode::OK, Some(body)) => return Ok(body),
                    (StatusCode::CONFLICT, _) => return Err(Error::Conflict { message }),
                    (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) => {
                        last = message;
                    }
                    _ => return Err(Error::Remote { message: format!("{name}: {message}") }),
                }
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(Error::Remote { message: last })
}

async fn wait_in_force(
    client: &Client,
    entry: &str,
    generation: GenerationNumber,
    limit: Duration,
) -> Result<(), Error> {
    let started = clock::now();
    loop {
        let report: ClusterReport = fetch(client, &format!("http://{entry}/v1/cluster")).await?;
        let behind = report.processes.iter().filter(|one| one.generation < generation);
        let behind: Vec<String> = behind.map(|one| one.id.clone()).collect();
        if behind.is_empty() && report.generation >= generation {
            println!("generation {generation} is in force in {} processes", report.processes.len());
            return Ok(());
        }
        if clock::elapsed(started) >= limit {
            let message = format!("generation {generation} is not yet in force at {behind:?}");
            return Err(Error::Remote { message });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn show(config: &CtlConfig) -> Result<(), Error> {
    let client = open_client();
    if let Some(service) = config.operands.first() {
        let Some(row) = fetch_row(&client, &config.entry, service).await? else {
            return Err(Error::Remote { message: format!("no document '{service}' in force") });
        };
        for change in &row.history {
            println!(
                "# revision {} generation {} team {} at_millis {}",
                change.revision, change.generation, change.team, change.at_millis
            );
        }
        print!("{}", row.text);
        return Ok(());
    }
    let url = format!("http://{}/v1/cluster", config.entry);
    let report: ClusterReport = fetch(&client, &url).await?;
    println!("generation {} map {}", report.generation, report.map_generation);
    for process in &report.processes {
        let kind = if process.is_entry { "entry" } else { "agent" };
        println!("{kind} {} generation {} {}", process.id, process.generation, process.domain);
    }
    let url = format!("http://{}/v1/status", config.entry);
    let status: StatusReport = fetch(&client, &url).await?;
    print!("{}", status_text(&status));
    Ok(())
}

async fn report_burn(config: &CtlConfig) -> Result<(), Error> {
    let client = open_client();
    let url = format!("http://{}/v1/burn", config.entry);
    let mut burns: Vec<ServiceBurn> = fetch(&client, &url).await?;
    if let Some(service) = config.operands.first() {
        burns.retain(|burn| burn.service == *service);
        if burns.is_empty() {
            return Err(Error::Remote { message: format!("no document '{service}' in force") });
        }
    }
    print!("{}", text_report(&burns));
    if let Some(file) = &config.html_file {
        let written = std::fs::write(file, html_report(&burns));
        written.map_err(|source| Error::WriteFile { path: file.into(), source })?;
    }
    Ok(())
}

fn open_client() -> Client {
    Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build().unwrap_or_default()
}

async fn fetch_row(
    client: &Client,
    entry: &str,
    service: &str,
) -> Result<Option<DocumentRow>, Error> {
    let url = format!("http://{entry}/v1/documents/{service}");
    let answer = client.get(url).send().await.map_err(remote)?;
    if answer.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    answer.json().await.map(Some).map_err(remote)
}

async fn fetch<T: serde::de::DeserializeOwned>(client: &Client, url: &str) -> Result<T, Error> {
    let answer = client.get(url).send().await.map_err(remote)?;
    answer.json().await.map_err(remote)
}

fn remote(error: reqwest::Error) -> Error {
    Error::Remote { message: format!("the entry does not answer: {error}") }
}

/// Lines that go with `-`, lines that come with `+`; common lines are left out.
///
/// ```
/// assert_eq!(greengagearch::ctl::difference("a\nb\n", "a\nc\n"), "- b\n+ c\n");
/// ```
pub fn difference(old: &str, new: &str) -> String {
    let old_lines: Vec<&str> = old.lines().collect();
    let new_lines: Vec<&str> = new.lines().collect();
    let gone = old_lines.iter().filter(|line| !new_lines.contains(line));
    let come = new_lines.iter().filter(|line| !old_lines.contains(line));
    let gone = gone.map(|line| format!("- {line}\n"));
    gone.chain(come.map(|line| format!("+ {line}\n"))).collect()
}
