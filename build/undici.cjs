// The parts of undici that the program uses. The rest of it, such as fetch,
// would take every process that starts a while to load.
"use strict";
const api = require("../node_modules/undici/lib/api/index.js");
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const buildConnector = require("../node_modules/undici/lib/core/connect.js");
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const Pool = require("../node_modules/undici/lib/dispatcher/pool.js");

Object.assign(Dispatcher.prototype, api);
module.exports = { buildConnector, Client, Pool };
