//! HTML pages with tables and inline SVG plots of the results.

use std::fmt::Write as _;

use linestack_history::HistoryEvent;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome as RigOutcome, Second};
use plotters::prelude::*;

use crate::policies::Policy;
use crate::runs::{RunResult, mean};

/// The width and height of a line plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (760, 300);
/// The height of a bar plot, in pixels.
const BAR_PLOT_HEIGHT_PX: u32 = 180;
/// The steps of a quantile plot.
const QUANTILE_STEPS: u32 = 200;
/// The colours of the lines of a plot, in this order.
const COLOURS: [RGBColor; 7] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// The points of the lines of a plot, with the name of each line.
type Lines = Vec<(String, Vec<(f64, f64)>)>;

/// Returns a page that compares the policies in the results. The same results give the same bytes.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn simulation_page(title: &str, results: &[RunResult]) -> Fallible<String> {
    let mut policies: Vec<Policy> = Vec::new();
    for result in results {
        if !policies.contains(&result.policy) {
            policies.push(result.policy);
        }
    }
    let results_of = |policy: Policy| results.iter().filter(move |r| r.policy == policy);
    let goodput: Lines = policies
        .iter()
        .map(|p| (p.name().to_owned(), goodput_by_second(&results_of(*p).collect::<Vec<_>>())))
        .collect();
    let times: Lines = policies
        .iter()
        .map(|p| (p.name().to_owned(), answer_time_quantiles(&results_of(*p).collect::<Vec<_>>())))
        .collect();
    let longest = times.iter().flat_map(|(_, l)| l.iter().map(|p| p.1)).fold(0.1, f64::max);
    let span = goodput.iter().flat_map(|(_, l)| l.iter().map(|p| p.0)).fold(1.0, f64::max);
    let mut html = html_head(title);
    html += "<table><tr><th>policy</th><th>worlds</th><th>score</th><th>goodput</th><th>p99, s</th>\
             <th>dismissed</th><th>aborted</th><th>probes a submission</th></tr>\n";
    for policy in &policies {
        let runs: Vec<&RunResult> = results_of(*policy).collect();
        let mean_of =
            |value: &dyn Fn(&RunResult) -> f64| mean(&runs.iter().map(|r| value(r)).collect::<Vec<_>>());
        let share = |n: u64, r: &RunResult| n as f64 / r.outcome.submissions.max(1) as f64;
        writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{:.2}</td></tr>",
            policy.name(),
            runs.len(),
            mean_of(&|r| r.score),
            mean_of(&|r| r.outcome.goodput).mean,
            mean_of(&|r| r.outcome.p99_s).mean,
            mean_of(&|r| share(r.outcome.dismissed, r)).mean,
            mean_of(&|r| share(r.outcome.aborted, r)).mean,
            mean_of(&|r| share(r.outcome.probes, r)).mean,
        )?;
    }
    html += "</table>\n<h2>Goodput over time</h2>\n";
    html += &line_plot(&goodput, (0.0..span, 0.0..1.05), ("seconds", "share of the offered payoff"))?;
    html += "<h2>Answer times</h2>\n";
    html += &line_plot(&times, (0.0..1.0, 0.0..longest), ("share of the answers", "seconds"))?;
    html += "<h2>Work by executor</h2>\n";
    for policy in &policies {
        if let Some(first) = results_of(*policy).next() {
            writeln!(html, "<p>{}, seed {}</p>", policy.name(), first.outcome.seed)?;
            html += &bar_plot(&first.outcome.work_by_executor)?;
        }
    }
    html += "<h2>Violated rules</h2>\n<table><tr><th>policy</th><th>seed</th><th>rule</th><th>at, s</th><th>what</th></tr>\n";
    for result in results {
        for breach in &result.outcome.breaches {
            let (name, seed) = (result.policy.name(), result.outcome.seed);
            let detail = escape_html(&breach.detail);
            writeln!(
                html,
                "<tr><td>{name}</td><td>{seed}</td><td>{:?}</td><td>{:.2}</td><td>{detail}</td></tr>",
                breach.rule, breach.at_s
            )?;
        }
    }
    if results.iter().all(|r| r.outcome.breaches.is_empty()) {
        html += "<tr><td>none</td></tr>\n";
    }
    html += "</table></html>\n";
    Ok(html)
}

/// Returns a page on one run of several processes: the answers to clients, the startup stages of the nodes, and the
/// use of shared resources.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn fleet_page(plan: &Plan, outcome: &RigOutcome) -> Fallible<String> {
    let mut html = html_head(&plan.name);
    let span = outcome.seconds.len().max(1) as f64;
    let by_second = |count: &dyn Fn(&Second) -> u64| -> Vec<(f64, f64)> {
        outcome.seconds.iter().enumerate().map(|(i, s)| (i as f64, count(s) as f64)).collect()
    };
    let add_plot = |html: &mut String, title: &str, lines: Lines, y: &str| -> Fallible<()> {
        let most = lines.iter().flat_map(|(_, l)| l.iter().map(|p| p.1)).fold(1.0, f64::max);
        writeln!(html, "<h2>{title}</h2>")?;
        *html += &line_plot(&lines, (0.0..span, 0.0..most * 1.05), ("seconds", y))?;
        Ok(())
    };
    let answers: Lines = vec![
        ("satisfied".into(), by_second(&|s| s.satisfied)),
        ("dismissed".into(), by_second(&|s| s.dismissed)),
        ("aborted".into(), by_second(&|s| s.aborted)),
        ("no answer".into(), by_second(&|s| s.unknown)),
        ("refused".into(), by_second(&|s| s.unsent)),
    ];
    add_plot(&mut html, "Answers to clients", answers, "per second")?;
    let stages = ["version", "list", "known", "share", "full"];
    let counts = stages.map(|stage| (stage.to_owned(), nodes_at_stage(outcome, stage)));
    add_plot(&mut html, "Nodes by startup stage", counts.to_vec(), "nodes")?;
    let shared: Lines = vec![
        ("connections to executors".into(), by_second(&|s| s.connects)),
        ("connections from clients".into(), by_second(&|s| s.connections)),
        ("sessions with coordinators".into(), by_second(&|s| s.sessions)),
        ("list requests".into(), by_second(&|s| s.list_calls)),
    ];
    add_plot(&mut html, "Use of shared resources", shared, "per second")?;
    html += "<h2>Steps and faults</h2>\n<table><tr><th>at, s</th><th>deed</th><th>to</th></tr>\n";
    for line in &outcome.lines {
        if let HistoryEvent::Did { deed, to } = &line.what {
            let at = line.at.saturating_sub(outcome.load_began_at) as f64 / 1e9;
            writeln!(
                html,
                "<tr><td>{at:.2}</td><td>{}</td><td>{}</td></tr>",
                escape_html(deed),
                escape_html(to)
            )?;
        }
    }
    html += "</table>\n<h2>Violated guarantees</h2>\n<table>\n";
    for f in &outcome.findings {
        let at = f.at.saturating_sub(outcome.load_began_at) as f64 / 1e9;
        writeln!(
            html,
            "<tr><td>{at:.2}</td><td>{:?}</td><td>{}</td></tr>",
            f.violation,
            escape_html(&f.reason)
        )?;
    }
    outcome
        .faults
        .iter()
        .try_for_each(|f| writeln!(html, "<tr><td>fault</td><td>{}</td></tr>", escape_html(f)))?;
    if outcome.passed() {
        html += "<tr><td>none</td></tr>\n";
    }
    if let Some(recovery) = outcome.recovery() {
        let after = recovery.after_s.map_or("not within the plan".into(), |s| format!("after {s:.1} s"));
        let missed = recovery.missed;
        writeln!(
            html,
            "</table>\n<p>Full service {after}; {missed} first attempts were not satisfied.</p><table>"
        )?;
    }
    html += "</table></html>\n";
    Ok(html)
}

/// Returns the number of nodes at a startup stage over time, as a step function.
fn nodes_at_stage(outcome: &RigOutcome, wanted: &str) -> Vec<(f64, f64)> {
    let mut stage_of_node = std::collections::HashMap::<&str, &str>::new();
    let mut points = vec![(0.0, 0.0)];
    for line in &outcome.lines {
        match &line.what {
            HistoryEvent::Stage { stage } => drop(stage_of_node.insert(&line.by, stage)),
            HistoryEvent::Did { deed, to } if deed == "kill" || deed == "stop" => {
                stage_of_node.remove(to.as_str());
            }
            _ => continue,
        }
        let now = (line.at.saturating_sub(outcome.load_began_at)) as f64 / 1e9;
        let count = stage_of_node.values().filter(|stage| **stage == wanted).count() as f64;
        if let Some((_, before)) = points.last().copied() {
            points.push((now, before));
        }
        points.push((now, count));
    }
    points
}

fn html_head(title: &str) -> String {
    let title = escape_html(title);
    format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n<style>body{{font:15px/1.4 \
         sans-serif;max-width:800px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;\
         text-align:right;border-bottom:1px solid #ccc}}td:first-child,th:first-child{{text-align:left}}\
         </style>\n<h1>{title}</h1>\n"
    )
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the earned share of the offered payoff, for each second in which something was offered.
fn goodput_by_second(runs: &[&RunResult]) -> Vec<(f64, f64)> {
    let seconds = runs.iter().map(|r| r.outcome.offered_payoff_by_second.len()).max().unwrap_or(0);
    let sum = |series: &dyn Fn(&RunResult) -> &Vec<f64>, s: usize| -> f64 {
        runs.iter().map(|r| series(r).get(s).copied().unwrap_or(0.0)).sum()
    };
    let point = |s: usize| {
        let offered = sum(&|r| &r.outcome.offered_payoff_by_second, s);
        (offered > 0.0).then(|| (s as f64, sum(&|r| &r.outcome.earned_payoff_by_second, s) / offered))
    };
    (0..seconds).filter_map(point).collect()
}

/// Returns the quantiles of the answer times, from the minimum to the maximum.
fn answer_time_quantiles(runs: &[&RunResult]) -> Vec<(f64, f64)> {
    let mut all: Vec<f32> = runs.iter().flat_map(|r| r.outcome.answer_times.iter().copied()).collect();
    all.sort_unstable_by(f32::total_cmp);
    if all.is_empty() {
        return Vec::new();
    }
    let quantile = |i| all[(all.len() - 1) * i as usize / QUANTILE_STEPS as usize];
    (0..=QUANTILE_STEPS).map(|i| (f64::from(i) / f64::from(QUANTILE_STEPS), f64::from(quantile(i)))).collect()
}

fn line_plot(
    lines: &Lines,
    (x, y): (std::ops::Range<f64>, std::ops::Range<f64>),
    (x_name, y_name): (&str, &str),
) -> Fallible<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(x, y)?;
        chart.configure_mesh().x_desc(x_name).y_desc(y_name).light_line_style(TRANSPARENT).draw()?;
        for (i, (name, line)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws the seconds of work of each executor.
fn bar_plot(work: &[f64]) -> Fallible<String> {
    let most = work.iter().copied().fold(1e-9, f64::max);
    let mut svg = String::new();
    {
        let area =
            SVGBackend::with_string(&mut svg, (PLOT_SIZE_PX.0, BAR_PLOT_HEIGHT_PX)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..work.len().max(1) as f64, 0.0..most * 1.05)?;
        chart.configure_mesh().x_desc("executor").y_desc("seconds").light_line_style(TRANSPARENT).draw()?;
        chart.draw_series(work.iter().enumerate().map(|(i, w)| {
            Rectangle::new([(i as f64 + 0.1, 0.0), (i as f64 + 0.9, *w)], COLOURS[0].filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
