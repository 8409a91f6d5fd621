#!/usr/bin/env node
'use strict';

require('../build/src/cli/main.js');
