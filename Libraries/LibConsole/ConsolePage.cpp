#include <LibConsole/ConsolePage.h>

namespace zinc {

namespace {

constexpr std::string_view kPage = R"console(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
      content="default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'">
<title>zincshore console</title>
<style>
  body { font-family: sans-serif; margin: 1.5em; max-width: 90em; }
  table { border-collapse: collapse; }
  th, td { padding: 0.15em 0.3em; text-align: left; font-weight: normal; }
  th { font-size: 0.8em; color: #444; }
  input[type=text] { width: 9em; }
  input.number { width: 6em; }
  input.wide { width: 22em; }
  input.faulty, select.faulty { outline: 2px solid #b00; }
  textarea { width: 100%; height: 18em; font-family: monospace; }
  .fault, .removed { color: #b00; }
  .added { color: #070; }
  .changed { color: #850; }
  #messages { border: 1px solid #999; padding: 0.5em; min-height: 1.5em; white-space: pre-wrap; }
</style>
</head>
<body>
<h1>zincshore console</h1>
<p>
  <label>Operator's key <input id="key" class="wide" type="password" autocomplete="off"></label>
  <button id="load">Load the document in force</button>
  <span id="version"></span>
</p>
<form id="forms" autocomplete="off"></form>
<h2>Document</h2>
<textarea id="yaml" readonly aria-label="Document as YAML"></textarea>
<p>
  <button id="check">Check and compare</button>
  <button id="accept" disabled>Put in force</button>
</p>
<div id="messages" role="status"></div>
<datalist id="workspace-ids"></datalist>
<datalist id="team-ids"></datalist>
<script>
"use strict";

// ---- Fields of the document ----------------------------------------------------------------------

const strategies = ["first_fit", "best_fit", "dot_product", "least_loaded", "power_of_choices", "random"];
const spreads = ["none", "worker", "rack"];
const flags = ["false", "true"];

const resourceFields = [
  { name: "milli_cores", kind: "number", initial: "0" },
  { name: "memory_mib", kind: "number", initial: "0" },
  { name: "accelerators", kind: "number", initial: "0" },
  { name: "slots", kind: "number", initial: "0" },
];

const policyFields = [
  { name: "strategy", kind: "choice", choices: strategies, initial: "best_fit" },
  { name: "spread", kind: "choice", choices: spreads, initial: "none" },
];

const sections = {
  workspaces: [{ name: "id", kind: "text" }],
  teams: [
    { name: "id", kind: "text" },
    { name: "workspace", kind: "text", list: "workspace-ids" },
    { name: "share", kind: "number", initial: "1" },
    { name: "limit", kind: "mapping", fields: resourceFields },
  ],
  keys: [
    { name: "id", kind: "text", readOnly: true },
    { name: "team", kind: "text", readOnly: true },
    { name: "salt", kind: "text", hidden: true },
    { name: "hash", kind: "text", hidden: true },
  ],
  queues: [
    { name: "id", kind: "text" },
    { name: "access", kind: "choice", choices: ["keyed", "open"], initial: "keyed" },
    { name: "teams", kind: "list" },
    { name: "class", kind: "choice", choices: ["check", "batch", "all_at_once", "service"], initial: "check" },
    { name: "urgent", kind: "choice", choices: flags, initial: "false" },
    { name: "idempotent", kind: "choice", choices: flags, initial: "true" },
    { name: "reach", kind: "choice", choices: ["zone", "any_zone"], initial: "zone" },
    { name: "deadline_ms", kind: "number" },
    { name: "max_queued", kind: "number", initial: "1000" },
    { name: "retry_budget", kind: "number", initial: "0.1" },
    { name: "max_attempts", kind: "number" },
  ],
};

const placementFields = [
  { name: "check", kind: "mapping", fields: policyFields },
  { name: "batch", kind: "mapping", fields: policyFields },
  { name: "all_at_once", kind: "mapping", fields: policyFields },
  { name: "service", kind: "mapping", fields: policyFields },
  { name: "preempt_after_ms", kind: "number", initial: "1000" },
  { name: "max_preemptions", kind: "number", initial: "3" },
  { name: "max_quarantined", kind: "number", initial: "0.2" },
];

function newItem(fields) {
  const item = {};
  for (const field of fields) {
    item[field.name] = field.kind === "mapping" ? newItem(field.fields) : (field.initial || "");
  }
  return item;
}

function newDocument() {
  return { workspaces: [], teams: [], keys: [], queues: [], placement: newItem(placementFields) };
}

// ---- YAML ----------------------------------------------------------------------------------------

const reservedWords = ["null", "true", "false", "yes", "no", "on", "off", "nan"];

function writeText(text) {
  const isPlain = /^[A-Za-z][A-Za-z0-9._-]*$/.test(text) && !reservedWords.includes(text.toLowerCase());
  return isPlain ? text : JSON.stringify(text);
}

function writeNumber(text) {
  return /^-?[0-9.]+(e[+-]?[0-9]+)?$/i.test(text) ? text : JSON.stringify(text);
}

function splitList(text) {
  return text.split(",").map((part) => part.trim()).filter((part) => part !== "");
}

const writers = {
  text: (value) => writeText(value),
  number: (value) => writeNumber(value),
  choice: (value) => value,
  list: (value) => "[" + splitList(value).map(writeText).join(", ") + "]",
  mapping: (value, field) => "{" + writeFields(value, field.fields).join(", ") + "}",
};

function writeFields(item, fields) {
  return fields
    .filter((field) => item[field.name] !== "" || field.kind === "list")
    .map((field) => field.name + ": " + writers[field.kind](item[field.name], field));
}

function writeDocument(model) {
  let text = "";
  for (const [section, fields] of Object.entries(sections)) {
    text += section + (model[section].length === 0 ? ": []\n" : ":\n");
    for (const item of model[section]) {
      const lines = writeFields(item, fields);
      text += "  - " + (lines.length === 0 ? "{}" : lines.join("\n    ")) + "\n";
    }
  }
  return text + "placement:\n  " + writeFields(model.placement, placementFields).join("\n  ") + "\n";
}

function readScalar(text) {
  return text.startsWith('"') ? JSON.parse(text) : text;
}

function splitFlow(text) {
  const inner = text.slice(1, -1).trim();
  return inner === "" ? [] : inner.split(", ");
}

function readValue(text) {
  if (text.startsWith("[")) {
    return splitFlow(text).map(readScalar).join(", ");
  }
  if (!text.startsWith("{")) {
    return readScalar(text);
  }
  const mapping = {};
  for (const pair of splitFlow(text)) {
    const [name, value] = pair.split(": ");
    mapping[name] = readScalar(value);
  }
  return mapping;
}

/// Reads the canonical form in which entry instances give the document out, and no other.
function readDocument(text) {
  const model = newDocument();
  let section = "";
  for (const line of text.split("\n")) {
    const parts = /^( {2}- | {4}| {2}|)([a-z_]+):(?: (.*))?$/.exec(line);
    if (line === "") {
      continue;
    }
    if (!parts) {
      throw new Error("The document is not in canonical form: " + line);
    }
    const [, lead, name, value] = parts;
    if (lead === "") {
      section = name;
    } else if (section === "placement") {
      model.placement[name] = readValue(value);
    } else {
      if (lead === "  - ") {
        model[section].push(emptyItem(sections[section]));
      }
      model[section].at(-1)[name] = readValue(value);
    }
  }
  return model;
}

/// An item as it is before its fields are read: what the text leaves out stays out.
function emptyItem(fields) {
  const item = {};
  for (const field of fields) {
    item[field.name] = field.kind === "mapping" ? emptyItem(field.fields) : "";
  }
  return item;
}

// ---- Forms ---------------------------------------------------------------------------------------

let model = newDocument();
let checked = null;
let loadedText = "";

const byId = (id) => document.getElementById(id);

function element(tag, properties = {}, children = []) {
  const node = Object.assign(document.createElement(tag), properties);
  node.append(...children);
  return node;
}

function changed() {
  byId("yaml").value = writeDocument(model);
  byId("accept").disabled = true;
  checked = null;
  fillOptions("workspace-ids", model.workspaces);
  fillOptions("team-ids", model.teams);
}

function fillOptions(id, items) {
  byId(id).replaceChildren(...items.map((item) => element("option", { value: item.id })));
}

function control(item, field, path) {
  let node;
  if (field.kind === "choice") {
    node = element("select", {}, field.choices.map((choice) => element("option", { value: choice, textContent: choice })));
  } else {
    node = element("input", { type: "text", className: field.kind === "number" ? "number" : "" });
    node.readOnly = Boolean(field.readOnly);
  }
  node.value = item[field.name];
  node.dataset.path = path;
  node.setAttribute("aria-label", path);
  if (field.list) {
    node.setAttribute("list", field.list);
  }
  node.addEventListener("input", () => {
    item[field.name] = node.value;
    changed();
  });
  return node;
}

/// The single inputs of an item with their titles and paths, those of mappings included.
function leaves(item, fields, path, title = "") {
  return fields.filter((field) => !field.hidden).flatMap((field) => {
    const place = path + "." + field.name;
    const name = (title + " " + field.name.replaceAll("_", " ")).trim();
    return field.kind === "mapping"
      ? leaves(item[field.name], field.fields, place, name)
      : [{ title: name, node: control(item, field, place) }];
  });
}

function headRow(fields) {
  const titles = leaves(newItem(fields), fields, "").map((leaf) => leaf.title);
  return element("tr", {}, titles.map((title) => element("th", { textContent: title })));
}

function itemRow(section, item, index) {
  const cells = leaves(item, sections[section], section + "[" + index + "]")
    .map((leaf) => element("td", {}, [leaf.node]));
  const remove = element("button", { type: "button", textContent: section === "keys" ? "Withdraw" : "Remove" });
  guard(remove, async () => (section === "keys" ? withdrawKey(item.id) : removeItem(section, index)));
  return element("tr", {}, [...cells, element("td", {}, [remove])]);
}

function removeItem(section, index) {
  model[section].splice(index, 1);
  render();
}

function addItem(section) {
  model[section].push(newItem(sections[section]));
  render();
}

function sectionForm(section, fields) {
  const rows = model[section].map((item, index) => itemRow(section, item, index));
  const parts = [element("h2", { textContent: section }), element("table", {}, [headRow(fields), ...rows])];
  return [...parts, section === "keys" ? grantForm() : addButton(section)];
}

function addButton(section) {
  const add = element("button", { type: "button", textContent: "Add", id: "add-" + section });
  add.addEventListener("click", () => addItem(section));
  return add;
}

function grantForm() {
  const team = element("input", { type: "text", placeholder: "team", id: "grant-team" });
  team.setAttribute("list", "team-ids");
  const grant = element("button", { type: "button", textContent: "Grant a key", id: "grant" });
  guard(grant, () => grantKey(team.value));
  return element("p", {}, [team, grant]);
}

function placementForm() {
  const rows = leaves(model.placement, placementFields, "placement")
    .map((leaf) => element("tr", {}, [element("th", { textContent: leaf.title }), element("td", {}, [leaf.node])]));
  return [element("h2", { textContent: "placement" }), element("table", {}, rows)];
}

function render() {
  const parts = Object.entries(sections).flatMap(([section, fields]) => sectionForm(section, fields));
  byId("forms").replaceChildren(...parts, ...placementForm());
  changed();
}

// ---- Calls ---------------------------------------------------------------------------------------

function say(lines) {
  byId("messages").replaceChildren(
    ...lines.map(([style, text]) => element("div", { className: style, textContent: text })));
}

async function call(method, target, body, headers = {}) {
  const response = await fetch(target, {
    method,
    body,
    cache: "no-store",
    headers: { Authorization: "Bearer " + byId("key").value, ...headers },
  });
  const text = await response.text();
  return { status: response.status, version: response.headers.get("ETag"), text, json: tryJson(text) };
}

function tryJson(text) {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

function errorLines(reply) {
  const error = reply.json?.error;
  return [["fault", error ? error.message + " (" + error.code + ", " + error.run + ")" : "Status " + reply.status]];
}

function showFaults(faults) {
  for (const fault of faults) {
    document.querySelector('[data-path="' + CSS.escape(fault.path) + '"]')?.classList.add("faulty");
  }
  say(faults.map((fault) => [
    "fault", "line " + fault.line + ": " + fault.path + ": " + fault.message + "; expected " + fault.expected]));
}

function showChanges(plan) {
  const lines = plan.changes.map((change) => [change.kind, changeText(change)]);
  say([["", "Against version " + plan.base_version + (lines.length === 0 ? ": no changes" : ":")], ...lines]);
}

function changeText(change) {
  const texts = {
    added: "+ " + change.path + ": " + change.after,
    removed: "- " + change.path + ": " + change.before,
    changed: "~ " + change.path + ": " + change.before + " -> " + change.after,
  };
  return texts[change.kind];
}

async function load() {
  const reply = await call("GET", "/v1/document");
  if (reply.status !== 200) {
    say(errorLines(reply));
    return;
  }
  model = readDocument(reply.text);
  byId("version").textContent = "version " + (reply.version || "").replaceAll('"', "");
  render();
  loadedText = byId("yaml").value;
  say([]);
}

async function check() {
  document.querySelectorAll(".faulty").forEach((node) => node.classList.remove("faulty"));
  const text = byId("yaml").value;
  const reply = await call("POST", "/v1/document/plan", text, { "Content-Type": "application/yaml" });
  if (reply.json?.faults?.length > 0) {
    showFaults(reply.json.faults);
    return;
  }
  if (reply.status !== 200 || !reply.json?.valid) {
    say(errorLines(reply));
    return;
  }
  showChanges(reply.json);
  if (byId("yaml").value === text && reply.json.changes.length > 0) {
    checked = { text, version: reply.json.base_version };
    byId("accept").disabled = false;
  }
}

async function accept() {
  if (!checked) {
    return;
  }
  byId("accept").disabled = true;
  const headers = { "Content-Type": "application/yaml", "If-Match": '"' + checked.version + '"' };
  const accepted = checked.text;
  const reply = await call("PUT", "/v1/document", accepted, headers);
  checked = null;
  if (reply.status !== 200) {
    reply.json?.faults ? showFaults(reply.json.faults) : say(errorLines(reply));
    return;
  }
  byId("version").textContent = "version " + reply.json.version;
  loadedText = accepted;
  say([["added", "Version " + reply.json.version + " accepted."], ...zoneLines(reply.json)]);
}

function zoneLines(acceptance) {
  return (acceptance.zones || []).map((zone) => [
    zone.confirmed ? "" : "fault",
    "zone " + zone.zone + (zone.confirmed ? ": in force" : ": has not confirmed yet")]);
}

/// Grants and withdrawals take effect at once; edits that were not put in force would be lost.
async function changeKey(method, target, body) {
  if (byId("version").textContent === "" || hasEdits()) {
    say([["fault", "Load the document first, and put your changes in force before changing keys."]]);
    return;
  }
  const reply = await call(method, target, body, body ? { "Content-Type": "application/json" } : {});
  if (reply.status !== 200) {
    say(errorLines(reply));
    return;
  }
  await load();
  const lines = zoneLines(reply.json);
  say(reply.json.key ? [["added", "Key, shown once: " + reply.json.key], ...lines]
                     : [["removed", "Withdrawn."], ...lines]);
}

function hasEdits() {
  return byId("yaml").value !== loadedText;
}

const grantKey = (team) => changeKey("POST", "/v1/keys", JSON.stringify({ team }));
const withdrawKey = (id) => changeKey("DELETE", "/v1/keys/" + encodeURIComponent(id));

/// Runs a step for a button and tells what went wrong.
function guard(button, step) {
  button.addEventListener("click", () => step().catch((error) => say([["fault", String(error.message)]])));
}

guard(byId("load"), load);
guard(byId("check"), check);
guard(byId("accept"), accept);
byId("forms").addEventListener("submit", (event) => event.preventDefault());
render();
</script>
</body>
</html>
)console";

}

std::string_view
ConsolePage()
{
  return kPage;
}

}
