/** The import direction: programs, then adapters and tasks, then ports, then core. */
module.exports = {
  forbidden: [
    {
      name: "core-imports-only-core",
      severity: "error",
      from: { path: "^source/core/", pathNot: "_test\\.ts$" },
      to: {
        path:
          "^(source/(ports|tasks|adapters|programs)|standins|benches|tests)/",
      },
    },
    {
      name: "core-does-no-input-or-output",
      severity: "error",
      from: { path: "^source/core/", pathNot: "_test\\.ts$" },
      to: { dependencyTypes: ["core"] },
    },
    {
      name: "ports-import-only-core",
      severity: "error",
      from: { path: "^source/ports/" },
      to: {
        path: "^(source/(tasks|adapters|programs)|standins|benches|tests)/",
      },
    },
    {
      name: "tasks-do-not-know-adapters",
      severity: "error",
      from: { path: "^source/tasks/", pathNot: "_test\\.ts$" },
      to: { path: "^(source/(adapters|programs)|standins|benches|tests)/" },
    },
    {
      name: "adapters-do-not-know-tasks",
      severity: "error",
      from: { path: "^source/adapters/", pathNot: "_test\\.ts$" },
      to: { path: "^(source/(tasks|programs)|standins|benches|tests)/" },
    },
    {
      name: "only-programs-know-the-platform",
      severity: "error",
      from: { path: "^source/(core|ports|tasks|adapters)/" },
      to: { path: "^platform/" },
    },
    {
      name: "platform-is-an-adapter",
      severity: "error",
      from: { path: "^platform/", pathNot: "_test\\.ts$" },
      to: { path: "^source/(tasks|programs)/" },
    },
    {
      name: "product-does-not-know-stand-ins",
      severity: "error",
      from: { path: "^(source|platform)/", pathNot: "_test\\.ts$" },
      to: { path: "^(standins|benches|tests)/" },
    },
    { name: "no-cycles", severity: "error", from: {}, to: { circular: true } },
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: "tsconfig.json" },
    enhancedResolveOptions: { extensions: [".ts", ".js", ".json"] },
  },
};
