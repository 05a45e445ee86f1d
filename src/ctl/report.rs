//! The report on service-level burn, for a terminal and as a page.

use std::fmt::Write;
use std::time::Duration;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::process::burn_ledger::LONG_WINDOW;
use crate::process::burn_ledger::SHORT_WINDOW;
use crate::process::burn_ledger::ServiceBurn;
use crate::process::burn_ledger::WindowBurn;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 260);
/// Minutes that a plot shows at most.
const PLOT_MINUTES: u64 = 24 * 60;
/// Colour of good events.
const GOOD: RGBColor = RGBColor(40, 120, 80);
/// Style of the page.
const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:900px;margin:2em auto;\
    padding:0 1em;color:#222}table{border-collapse:collapse;margin:.5em 0}td,th{padding:.2em .8em;\
    border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}\
    .over{color:#b00020;font-weight:600}svg{width:100%;height:auto}";

/// The report as text.
///
/// ```
/// use greengagearch::ctl::report::text_report;
/// use greengagearch::process::burn_ledger::ServiceBurn;
///
/// let burn = ServiceBurn { service: "spots".into(), ..ServiceBurn::default() };
/// assert!(text_report(&[burn]).starts_with("spots"));
/// ```
pub fn text_report(burns: &[ServiceBurn]) -> String {
    let mut text = String::new();
    for burn in burns {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}: {}", burn.service, objective_text(burn));
        let _ = writeln!(text, "  {:<8} {:>10} {:>8} {:>10}", "window", "good", "bad", "burn rate");
        for (name, window) in windows(burn) {
            let _ = writeln!(
                text,
                "  {name:<8} {:>10} {:>8} {:>10.2}",
                window.good, window.bad, window.rate
            );
        }
        let _ =
            writeln!(text, "  budget left {:.1} %, {}", burn.budget_left * 100.0, forecast(burn));
        for (cause, count) in &burn.causes {
            let _ = writeln!(text, "  burned by {cause}: {count}");
        }
    }
    text
}

/// The report as a page that needs nothing else.
///
/// ```
/// use greengagearch::ctl::report::html_report;
///
/// assert!(html_report(&[]).starts_with("<!doctype html>"));
/// ```
pub fn html_report(burns: &[ServiceBurn]) -> String {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1>"
    );
    for burn in burns {
        page.push_str(&service_section(burn));
    }
    page.push_str("</html>\n");
    page
}

fn service_section(burn: &ServiceBurn) -> String {
    let class = if burn.budget_left < 0.0 { " class=\"over\"" } else { "" };
    let mut section = format!(
        "<h2>{}</h2><p>{}</p><p{class}>Budget left: {:.1} %; {}.</p>",
        escape(&burn.service),
        objective_text(burn),
        burn.budget_left * 100.0,
        forecast(burn)
    );
    section.push_str("<table><tr><th>window<th>good<th>bad<th>burn rate</tr>");
    for (name, window) in windows(burn) {
        let _ = write!(
            section,
            "<tr><td>{name}<td>{}<td>{}<td>{:.2}</tr>",
            window.good, window.bad, window.rate
        );
    }
    section.push_str("</table>");
    if !burn.causes.is_empty() {
        section.push_str("<table><tr><th>burned by<th>events</tr>");
        for (cause, count) in &burn.causes {
            let _ = write!(section, "<tr><td>{}<td>{count}</tr>", escape(cause));
        }
        section.push_str("</table>");
    }
    section.push_str(&plot(burn).unwrap_or_default());
    section
}

/// Good and bad events by minute, as an inline picture; nothing without events.
fn plot(burn: &ServiceBurn) -> Option<String> {
    let (last, _) = burn.minutes.last_key_value()?;
    let (first, _) = burn.minutes.first_key_value()?;
    // One more minute before the first, so that a single minute makes a line too.
    let first = first.saturating_sub(1).max(last.saturating_sub(PLOT_MINUTES));
    let events = |minute: u64| burn.minutes.get(&minute).cloned().unwrap_or_default();
    let highest = (first..=*last).map(|minute| {
        let counts = events(minute);
        counts.good.max(counts.bad_count())
    });
    let highest = highest.max().unwrap_or(0).max(1);
    let mut picture = String::new();
    {
        let area = SVGBackend::with_string(&mut picture, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).ok()?;
        let ago = |minute: u64| minute as f64 - *last as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(ago(first)..0.0, 0.0..highest as f64 * 1.05)
            .ok()?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("minutes before the last event").y_desc("events a minute").draw().ok()?;
        let good = (first..=*last).map(|minute| (ago(minute), events(minute).good as f64));
        chart.draw_series(LineSeries::new(good, GOOD.stroke_width(2))).ok()?;
        let bad = (first..=*last).map(|minute| (ago(minute), events(minute).bad_count() as f64));
        chart.draw_series(LineSeries::new(bad, RED.stroke_width(2))).ok()?;
        area.present().ok()?;
    }
    Some(format!("<p>Good events in green, bad events in red.</p>{picture}"))
}

fn windows(burn: &ServiceBurn) -> [(&'static str, &WindowBurn); 3] {
    [("short", &burn.short), ("long", &burn.long), ("whole", &burn.whole)]
}

fn objective_text(burn: &ServiceBurn) -> String {
    format!(
        "{} % of requests within {} ms, over {}; short window {}, long window {}",
        burn.percent,
        burn.latency_millis,
        span_text(burn.window_seconds),
        span_text(SHORT_WINDOW.as_secs()),
        span_text(LONG_WINDOW.as_secs())
    )
}

fn forecast(burn: &ServiceBurn) -> String {
    match burn.exhausted_in_seconds {
        None => "not being used up".to_string(),
        Some(0) => "used up".to_string(),
        Some(seconds)
            if Duration::from_secs(seconds) > Duration::from_secs(burn.window_seconds) =>
        {
            "lasts longer than the window at the long window's rate".to_string()
        }
        Some(seconds) => format!("used up in {} at the long window's rate", span_text(seconds)),
    }
}

fn span_text(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::process::burn_ledger::BurnMinute;

    fn burn() -> ServiceBurn {
        let minute = BurnMinute { good: 9, bad: BTreeMap::from([("queueing".to_string(), 1)]) };
        ServiceBurn {
            service: "<spots>".to_string(),
            percent: 99.0,
            budget_left: -9.0,
            exhausted_in_seconds: Some(0),
            causes: BTreeMap::from([("queueing".to_string(), 1)]),
            minutes: BTreeMap::from([(100, minute.clone()), (105, minute)]),
            ..ServiceBurn::default()
        }
    }

    #[test]
    fn a_page_is_self_contained_and_escaped() {
        let page = html_report(&[burn()]);
        assert!(page.contains("&lt;spots&gt;") && !page.contains("<spots>"));
        assert!(page.contains("<svg") && page.contains("class=\"over\""));
        assert!(!page.contains("src=") && !page.contains("<script"));
    }

    #[test]
    fn the_text_names_what_burned_the_budget() {
        let text = text_report(&[burn()]);
        assert!(text.contains("budget left -900.0 %, used up"), "{text}");
        assert!(text.contains("burned by queueing: 1"), "{text}");
    }
}
