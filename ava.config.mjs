export default {
  files: ['build/test/**/*.test.js'],
  timeout: '120s',
  concurrency: 4,
};
