export {simulate} from './model/simulate.js';
