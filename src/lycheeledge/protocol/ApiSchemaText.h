// Text of schema/api.json, written by scripts/embed-schema.
#pragma once

#include <string_view>

namespace lycheeledge {

inline constexpr std::string_view apiSchemaText = R"schema({
  "openrpc": "1.2.6",
  "info": {
    "title": "lycheeledge",
    "version": "1.0.0",
    "description": "Calls of callers and operators, sent as JSON-RPC 2.0 by HTTP POST to /rpc with the key in 'Authorization: Bearer <key id>.<secret>'. Parameters are passed by name. Schemas use the draft 4 vocabulary. 'x-role' is the role that the key must have, 'x-mutating' marks calls that change the configuration."
  },
  "methods": [
    {
      "name": "work.submit",
      "summary": "Submits work. For a request the answer is its outcome; for batch work and services it says that the job is durable.",
      "paramStructure": "by-name",
      "x-role": "caller",
      "params": [
        { "name": "team", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "requestId", "required": true, "schema": { "$ref": "#/components/schemas/RequestId" } },
        { "name": "queue", "summary": "The team's default queue if absent.", "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "kind", "required": true, "schema": { "$ref": "#/components/schemas/Kind" } },
        { "name": "size", "summary": "Declared size of each task.", "required": true, "schema": { "$ref": "#/components/schemas/Size" } },
        { "name": "tasks", "summary": "Number of tasks, 1 for requests.", "schema": { "type": "integer", "minimum": 1, "maximum": 100000, "default": 1 } },
        { "name": "allTogether", "summary": "Starts all tasks in one decision or none.", "schema": { "type": "boolean", "default": false } },
        { "name": "repeatable", "summary": "The work may be executed more than once.", "schema": { "type": "boolean", "default": false } },
        { "name": "urgent", "schema": { "type": "boolean", "default": false } },
        { "name": "deadlineMs", "summary": "Time from receipt until the caller gives up, in milliseconds; 0 for none.", "schema": { "type": "integer", "minimum": 0, "maximum": 86400000, "default": 0 } },
        { "name": "expectedRunMs", "summary": "Declared run time of a task, in milliseconds; 0 if unknown.", "schema": { "type": "integer", "minimum": 0, "maximum": 31536000000, "default": 0 } },
        { "name": "zone", "summary": "Preferred zone.", "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "attempt", "summary": "Sending of this identity, counted from 1; 0 if not declared.", "schema": { "type": "integer", "minimum": 0, "maximum": 1000000, "default": 0 } },
        { "name": "payload", "summary": "Passed to each task.", "schema": { "type": "string", "maxLength": 65536, "default": "" } }
      ],
      "result": { "name": "result", "schema": { "$ref": "#/components/schemas/WorkResult" } }
    },
    {
      "name": "work.cancel",
      "summary": "Cancels work. Repeating the call has no further effect.",
      "paramStructure": "by-name",
      "x-role": "caller",
      "params": [
        { "name": "team", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "requestId", "required": true, "schema": { "$ref": "#/components/schemas/RequestId" } }
      ],
      "result": { "name": "status", "schema": { "$ref": "#/components/schemas/WorkStatus" } }
    },
    {
      "name": "work.status",
      "summary": "Says where a piece of work stands and why it waits.",
      "paramStructure": "by-name",
      "x-role": "caller",
      "params": [
        { "name": "team", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "requestId", "required": true, "schema": { "$ref": "#/components/schemas/RequestId" } }
      ],
      "result": { "name": "status", "schema": { "$ref": "#/components/schemas/WorkStatus" } }
    },
    {
      "name": "team.set",
      "summary": "Creates or replaces a team.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "share", "summary": "Weight relative to the other teams.", "required": true, "schema": { "type": "number", "minimum": 0, "exclusiveMinimum": true, "maximum": 1000000 } },
        { "name": "upperLimit", "summary": "Largest amount running at once across the fleet; unlimited if absent.", "schema": { "$ref": "#/components/schemas/Limit" } },
        { "name": "maxRunningTasks", "summary": "Across the fleet; 0 for unlimited.", "schema": { "type": "integer", "minimum": 0, "maximum": 10000000, "default": 0 } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "team.delete",
      "summary": "Deletes a team.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "team.get",
      "summary": "Returns one team.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } }
      ],
      "result": { "name": "team", "schema": { "$ref": "#/components/schemas/Team" } }
    },
    {
      "name": "team.list",
      "summary": "Returns all teams.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "teams", "schema": { "type": "array", "items": { "$ref": "#/components/schemas/Team" } } }
    },
    {
      "name": "key.create",
      "summary": "Creates a key. Only a salted digest of the secret is kept.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/KeyId" } },
        { "name": "team", "summary": "Required for the role 'caller', absent for 'operator'.", "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "role", "schema": { "type": "string", "enum": ["caller", "operator"], "default": "caller" } },
        { "name": "secret", "required": true, "schema": { "type": "string", "minLength": 16, "maxLength": 256, "pattern": "^[A-Za-z0-9_-]+$" } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "key.withdraw",
      "summary": "Withdraws a key for good.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/KeyId" } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "key.list",
      "summary": "Returns all keys, without secrets, salts and digests.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "keys", "schema": { "type": "array", "items": { "$ref": "#/components/schemas/Key" } } }
    },
    {
      "name": "queue.set",
      "summary": "Creates or replaces a queue.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "team", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "openToAll", "summary": "Accepts work without a key of the team.", "schema": { "type": "boolean", "default": false } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "queue.delete",
      "summary": "Deletes a queue.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "queue.list",
      "summary": "Returns all queues.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "queues", "schema": { "type": "array", "items": { "$ref": "#/components/schemas/Queue" } } }
    },
    {
      "name": "policy.set",
      "summary": "Sets the policy for one kind of work.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "kind", "required": true, "schema": { "$ref": "#/components/schemas/Kind" } },
        { "name": "maxAttempts", "schema": { "type": "integer", "minimum": 1, "maximum": 10, "default": 3 } },
        { "name": "preemptible", "schema": { "type": "boolean", "default": false } },
        { "name": "maxQueuedPerTeam", "schema": { "type": "integer", "minimum": 1, "maximum": 1000000, "default": 10000 } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "policy.list",
      "summary": "Returns the policies of all kinds of work.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "policies", "schema": { "type": "array", "items": { "$ref": "#/components/schemas/Policy" } } }
    },
    {
      "name": "vm.drain",
      "summary": "Marks a worker VM so that it gets no new work, or removes the mark.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "x-mutating": true,
      "params": [
        { "name": "id", "required": true, "schema": { "$ref": "#/components/schemas/Id" } },
        { "name": "drained", "schema": { "type": "boolean", "default": true } },
        { "name": "idempotencyKey", "required": true, "schema": { "$ref": "#/components/schemas/IdempotencyKey" } },
        { "name": "expectedVersion", "schema": { "$ref": "#/components/schemas/Version" } }
      ],
      "result": { "name": "change", "schema": { "$ref": "#/components/schemas/Change" } }
    },
    {
      "name": "vm.list",
      "summary": "Returns the VMs that carry a drain mark.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "vms", "schema": { "type": "array", "items": { "$ref": "#/components/schemas/Vm" } } }
    },
    {
      "name": "cell.overview",
      "summary": "Returns queues, usage against share and limit, workers and quarantine of a cell.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [
        { "name": "cell", "summary": "The cell of the process that is asked if absent.", "schema": { "$ref": "#/components/schemas/Id" } }
      ],
      "result": { "name": "overview", "schema": { "type": "object" } }
    },
    {
      "name": "process.status",
      "summary": "Returns the state of the process that is asked: member, configuration revision, freshness, owned cells.",
      "paramStructure": "by-name",
      "x-role": "operator",
      "params": [],
      "result": { "name": "status", "schema": { "type": "object" } }
    }
  ],
  "components": {
    "schemas": {
      "Id": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]*$" },
      "KeyId": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9_-]*$" },
      "RequestId": { "type": "string", "minLength": 1, "maxLength": 128, "pattern": "^[A-Za-z0-9][A-Za-z0-9_.:-]*$" },
      "IdempotencyKey": { "type": "string", "minLength": 1, "maxLength": 128, "pattern": "^[A-Za-z0-9][A-Za-z0-9_.:-]*$" },
      "Version": { "description": "Version of the entity, which grows with each of its changes; as expected version 0 requires that it does not exist.", "type": "integer", "minimum": 0, "maximum": 9007199254740991 },
      "Kind": { "type": "string", "enum": ["request", "batch", "service"] },
      "Size": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "cpu": { "description": "In millicores.", "type": "integer", "minimum": 0, "maximum": 1000000, "default": 0 },
          "memoryMb": { "type": "integer", "minimum": 0, "maximum": 16777216, "default": 0 },
          "accelerators": { "type": "integer", "minimum": 0, "maximum": 1024, "default": 0 },
          "slots": { "type": "integer", "minimum": 0, "maximum": 4096, "default": 0 },
          "connections": { "type": "integer", "minimum": 0, "maximum": 65536, "default": 0 }
        }
      },
      "Limit": {
        "type": "object",
        "additionalProperties": false,
        "required": ["cpu", "memoryMb", "accelerators", "slots", "connections"],
        "properties": {
          "cpu": { "description": "In millicores.", "type": "integer", "minimum": 0, "maximum": 10000000000 },
          "memoryMb": { "type": "integer", "minimum": 0, "maximum": 100000000000 },
          "accelerators": { "type": "integer", "minimum": 0, "maximum": 10000000 },
          "slots": { "type": "integer", "minimum": 0, "maximum": 100000000 },
          "connections": { "type": "integer", "minimum": 0, "maximum": 1000000000 }
        }
      },
      "Run": { "type": "string", "enum": ["not_run", "run", "unknown"] },
      "WorkResult": {
        "type": "object",
        "additionalProperties": false,
        "required": ["team", "requestId", "run", "body", "bodyEncoding", "length", "sha256"],
        "properties": {
          "team": { "$ref": "#/components/schemas/Id" },
          "requestId": { "$ref": "#/components/schemas/RequestId" },
          "run": { "description": "For a job that was just accepted not_run: no task has started yet.", "type": "string", "enum": ["not_run", "run", "unknown"] },
          "body": { "description": "The whole answer; empty for batch work and services.", "type": "string" },
          "bodyEncoding": { "description": "base64 if the answer is not valid UTF-8.", "type": "string", "enum": ["utf8", "base64"] },
          "length": { "description": "Of the decoded body, in bytes.", "type": "integer", "minimum": 0 },
          "sha256": { "description": "Of the decoded body, in hexadecimal.", "type": "string", "minLength": 64, "maxLength": 64 }
        }
      },
      "WorkStatus": {
        "type": "object",
        "additionalProperties": false,
        "required": ["team", "requestId", "kind", "phase", "tasks", "tasksRunning", "tasksFinished", "reason"],
        "properties": {
          "team": { "$ref": "#/components/schemas/Id" },
          "requestId": { "$ref": "#/components/schemas/RequestId" },
          "kind": { "$ref": "#/components/schemas/Kind" },
          "phase": { "type": "string", "enum": ["queued", "running", "finished", "set_aside"] },
          "tasks": { "type": "integer", "minimum": 0 },
          "tasksRunning": { "type": "integer", "minimum": 0 },
          "tasksFinished": { "type": "integer", "minimum": 0 },
          "reason": { "description": "One line on why it waits or how it ended.", "type": "string" }
        }
      },
      "Change": {
        "type": "object",
        "additionalProperties": false,
        "required": ["version", "inForce", "waitingFor"],
        "properties": {
          "version": { "$ref": "#/components/schemas/Version" },
          "inForce": { "description": "Whether the change is known to be in force everywhere.", "type": "boolean" },
          "waitingFor": { "description": "Members that have not confirmed the change.", "type": "array", "items": { "type": "string" } }
        }
      },
      "Team": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "share", "maxRunningTasks", "version"],
        "properties": {
          "id": { "$ref": "#/components/schemas/Id" },
          "share": { "type": "number" },
          "upperLimit": { "$ref": "#/components/schemas/Limit" },
          "maxRunningTasks": { "type": "integer", "minimum": 0 },
          "version": { "$ref": "#/components/schemas/Version" }
        }
      },
      "Key": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "role", "withdrawn", "version"],
        "properties": {
          "id": { "$ref": "#/components/schemas/KeyId" },
          "team": { "$ref": "#/components/schemas/Id" },
          "role": { "type": "string", "enum": ["caller", "operator"] },
          "withdrawn": { "type": "boolean" },
          "version": { "$ref": "#/components/schemas/Version" }
        }
      },
      "Queue": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "team", "openToAll", "version"],
        "properties": {
          "id": { "$ref": "#/components/schemas/Id" },
          "team": { "$ref": "#/components/schemas/Id" },
          "openToAll": { "type": "boolean" },
          "version": { "$ref": "#/components/schemas/Version" }
        }
      },
      "Policy": {
        "type": "object",
        "additionalProperties": false,
        "required": ["kind", "maxAttempts", "preemptible", "maxQueuedPerTeam", "version"],
        "properties": {
          "kind": { "$ref": "#/components/schemas/Kind" },
          "maxAttempts": { "type": "integer", "minimum": 1 },
          "preemptible": { "type": "boolean" },
          "maxQueuedPerTeam": { "type": "integer", "minimum": 1 },
          "version": { "$ref": "#/components/schemas/Version" }
        }
      },
      "Vm": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "drained", "version"],
        "properties": {
          "id": { "$ref": "#/components/schemas/Id" },
          "drained": { "type": "boolean" },
          "version": { "$ref": "#/components/schemas/Version" }
        }
      },
      "ErrorData": {
        "description": "'data' of every error.",
        "type": "object",
        "additionalProperties": false,
        "required": ["kind", "field", "run"],
        "properties": {
          "kind": { "type": "string" },
          "field": { "description": "JSON pointer into params; empty if the error is not about one field.", "type": "string" },
          "run": { "$ref": "#/components/schemas/Run" }
        }
      }
    }
  }
}
)schema";

} // namespace lycheeledge
