// Text of schema/settings.json, written by scripts/embed-schema.
#pragma once

#include <string_view>

namespace lycheeledge {

inline constexpr std::string_view settingsSchemaText = R"schema({
  "title": "Settings of lycheeledged",
  "type": "object",
  "additionalProperties": false,
  "required": ["member", "listen", "peer", "cell", "platform", "clusterSecret", "bootstrapKey"],
  "properties": {
    "member": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "zone"],
      "properties": {
        "id": { "$ref": "#/definitions/Id" },
        "zone": { "$ref": "#/definitions/Id" }
      }
    },
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": { "$ref": "#/definitions/IpAddress" },
        "port": { "$ref": "#/definitions/Port" },
        "certificatePath": { "$ref": "#/definitions/Path" },
        "keyPath": { "$ref": "#/definitions/Path" }
      }
    },
    "peer": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": { "$ref": "#/definitions/IpAddress" },
        "port": { "$ref": "#/definitions/Port" }
      }
    },
    "cell": {
      "type": "object",
      "additionalProperties": false,
      "required": ["id", "zones"],
      "properties": {
        "id": { "$ref": "#/definitions/Id" },
        "zones": { "type": "array", "minItems": 1, "maxItems": 64, "items": { "$ref": "#/definitions/Id" } }
      }
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["storeUrl", "vmListUrl"],
      "properties": {
        "storeUrl": { "$ref": "#/definitions/Url" },
        "vmListUrl": { "$ref": "#/definitions/Url" },
        "caPath": { "$ref": "#/definitions/Path" }
      }
    },
    "clusterSecret": { "type": "string", "minLength": 32, "maxLength": 256 },
    "bootstrapKey": {
      "type": "object",
      "additionalProperties": false,
      "required": ["salt", "sha256"],
      "properties": {
        "id": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9_-]*$", "default": "bootstrap" },
        "salt": { "type": "string", "minLength": 16, "maxLength": 128, "pattern": "^[0-9a-f]+$" },
        "sha256": { "type": "string", "minLength": 64, "maxLength": 64, "pattern": "^[0-9a-f]+$" }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxBodyBytes": { "type": "integer", "minimum": 1024, "maximum": 67108864, "default": 1048576 },
        "maxConnections": { "type": "integer", "minimum": 16, "maximum": 65536, "default": 4096 },
        "maxRequestMemoryBytes": { "type": "integer", "minimum": 1048576, "maximum": 1073741824, "default": 33554432 },
        "maxWaitingCalls": { "type": "integer", "minimum": 64, "maximum": 1048576, "default": 65536 },
        "maxConnectionsPerHost": { "type": "integer", "minimum": 1, "maximum": 1024, "default": 64 },
        "maxResponseBytes": { "type": "integer", "minimum": 1048576, "maximum": 268435456, "default": 67108864 }
      }
    },
    "intervals": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "gossipMs": { "type": "integer", "minimum": 20, "maximum": 10000, "default": 200 },
        "freshnessReadMs": { "type": "integer", "minimum": 50, "maximum": 10000, "default": 1000 },
        "isolationMs": { "type": "integer", "minimum": 200, "maximum": 60000, "default": 3000 },
        "storeLeaseMs": { "type": "integer", "minimum": 1000, "maximum": 120000, "default": 6000 },
        "storeLeaseRenewMs": { "type": "integer", "minimum": 100, "maximum": 60000, "default": 2000 },
        "controllerLeaseMs": { "type": "integer", "minimum": 200, "maximum": 60000, "default": 3000 },
        "taskLeaseMs": { "type": "integer", "minimum": 500, "maximum": 3600000, "default": 15000 },
        "workerRenewMs": { "type": "integer", "minimum": 50, "maximum": 30000, "default": 1000 },
        "vmListMs": { "type": "integer", "minimum": 100, "maximum": 60000, "default": 1000 },
        "journalCommitMs": { "type": "integer", "minimum": 5, "maximum": 5000, "default": 50 },
        "inForceWaitMs": { "type": "integer", "minimum": 100, "maximum": 60000, "default": 10000 },
        "rosterRemovalMs": { "type": "integer", "minimum": 1000, "maximum": 3600000, "default": 60000 },
        "storeRecoveryMs": { "type": "integer", "minimum": 0, "maximum": 60000, "default": 2000 },
        "stopLimitMs": { "type": "integer", "minimum": 1000, "maximum": 3600000, "default": 300000 }
      }
    },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": { "type": "string", "enum": ["info", "warning", "error"], "default": "info" }
      }
    },
    "trace": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "exportUrl": { "$ref": "#/definitions/Url" },
        "sampleRatio": { "type": "number", "minimum": 0, "maximum": 1, "default": 0.001 },
        "maxSpans": { "type": "integer", "minimum": 16, "maximum": 1048576, "default": 8192 }
      }
    }
  },
  "definitions": {
    "Id": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]*$" },
    "IpAddress": { "type": "string", "minLength": 2, "maxLength": 45, "pattern": "^[0-9a-fA-F.:]+$" },
    "Path": { "type": "string", "minLength": 1, "maxLength": 4096 },
    "Port": { "type": "integer", "minimum": 1, "maximum": 65535 },
    "Url": { "type": "string", "minLength": 8, "maxLength": 512, "pattern": "^https?://[^ ]+$" }
  }
}
)schema";

} // namespace lycheeledge
